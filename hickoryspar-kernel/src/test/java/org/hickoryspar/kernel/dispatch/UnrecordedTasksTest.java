package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.quota.TeamUsage;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class UnrecordedTasksTest {

  private static final TaskRun FIRST = new TaskRun("w", 0, 0, 0, 1);
  private static final TaskRun SECOND = new TaskRun("w", 0, 0, 1, 1);
  private static final TaskRun UNKNOWN = new TaskRun("forgotten", 0, 0, 0, 1);
  private static final long STRAY_EXPIRY_MILLIS = 5_000;
  private static final long NOW_MILLIS = 1_000;

  private TeamUsage usage;
  private UnrecordedTasks tasks;
  private Minion minion;

  @BeforeMethod
  void submitWorkflow() {
    WorkflowTable table = new WorkflowTable();
    SubmitWorkflow.Builder submission =
        SubmitWorkflow.newBuilder()
            .setWorkflowId("w")
            .setTeam("a")
            .setSpec(WorkflowSpec.newBuilder().addSteps(DispatcherHarness.step(2, 3)));
    table.apply(
        WorkflowBatch.newBuilder()
            .addEvents(WorkflowEvent.newBuilder().setSubmit(submission))
            .build(),
        0);
    usage = new TeamUsage();
    tasks = new UnrecordedTasks(table, usage, STRAY_EXPIRY_MILLIS);
    minion = new Minion(new FakeMinion("m1", "r1", 0).report(NOW_MILLIS), NOW_MILLIS);
  }

  private long acceleratorsInUse() {
    return usage.inUse("a").accelerators();
  }

  /** Guards against a stray task that does not count, counts twice, or counts after its end. */
  @Test
  public void shouldCountStrayTasksWhileTheyAreListed() {
    tasks.updateStrays(minion, List.of(FIRST, SECOND, UNKNOWN), NOW_MILLIS);
    tasks.updateStrays(minion, List.of(FIRST, SECOND), NOW_MILLIS + 100);
    assertEquals(acceleratorsInUse(), 6);

    tasks.updateStrays(minion, List.of(SECOND), NOW_MILLIS + 200);
    assertEquals(acceleratorsInUse(), 3);
    tasks.removeAll(minion);

    assertEquals(acceleratorsInUse(), 0);
  }

  /** Guards against a stray task that counts for ever because its minion never responds again. */
  @Test
  public void shouldCountStrayTasksOfASilentMinionUntilTheirLeaseHasEnded() {
    tasks.updateStrays(minion, List.of(FIRST), NOW_MILLIS);

    tasks.sweep(NOW_MILLIS + STRAY_EXPIRY_MILLIS);
    assertEquals(acceleratorsInUse(), 3);
    tasks.sweep(NOW_MILLIS + STRAY_EXPIRY_MILLIS + 1);

    assertEquals(acceleratorsInUse(), 0);
  }

  /** Guards against a start that takes effect late, in a new life of its minion, beside others. */
  @Test
  public void shouldCountADelayedStartUntilItCanNoLongerTakeEffect() {
    tasks.addDelayedStart(minion, FIRST, NOW_MILLIS + 15_000);
    tasks.updateStrays(minion, List.of(), NOW_MILLIS + 100);
    assertEquals(acceleratorsInUse(), 3, "it may still start");

    tasks.updateStrays(minion, List.of(FIRST), NOW_MILLIS + 14_000);
    tasks.sweep(NOW_MILLIS + 15_001);
    assertEquals(acceleratorsInUse(), 3, "it has started");
    tasks.updateStrays(minion, List.of(), NOW_MILLIS + 15_100);

    assertEquals(acceleratorsInUse(), 0);
  }
}
