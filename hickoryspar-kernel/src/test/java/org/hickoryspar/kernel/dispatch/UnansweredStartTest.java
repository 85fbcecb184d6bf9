package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests work whose minion responds to renewals and not to starts. */
public class UnansweredStartTest {

  /** Time after which no start that was sent before can take effect any more. */
  private static final long MAX_WAIT_MILLIS = 30_000;

  /** Accepted work must not wait beside idle capacity for longer. */
  private static final long MAX_IDLE_WAIT_MILLIS = 3_000;

  /** Longer than any isolation of a minion, and the wait beside idle capacity after it. */
  private static final long RECOVERY_MILLIS = 20_000;

  private static final int SEEDS = 40;

  /** Guards against a task that a minion holds for ever without starting it. */
  @Test
  void shouldPlaceTaskElsewhereWhenMinionNeverAnswersStarts() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinion("m1", "r1").ignoreStarts();
    harness.advanceTime(100);
    harness.submit("task", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(100);
    harness.addMinion("m2", "r1");

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task"), List.of("m2"), harness.events().toString());
  }

  /** Guards against a task that is held for good because its stop gets no response either. */
  @Test
  void shouldPlaceTaskElsewhereOnlyOnceItsStartsHaveExpiredWhenMinionIgnoresStopsToo() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion bad = harness.addMinion("bad", "bad");
    bad.ignoreStarts();
    bad.ignoreStops();
    harness.addMinions(1, "good");
    harness.advanceTime(100);
    harness.submit("task", 1, DispatcherHarness.step(1, 1).setDataRack("bad"));

    for (int i = 0; i < 1_000 && harness.countEvents("RUN_PLACED task") < 2; i++) {
      harness.advanceTime(DispatcherHarness.TICK_MILLIS);
    }

    Order.Start lastStart = bad.starts().get(bad.starts().size() - 1);
    assertTrue(bad.clockMillis(harness.nowMillis()) > lastStart.deadlineMillis());
    harness.advanceTime(MAX_IDLE_WAIT_MILLIS);
    assertEquals(harness.minionsOf("task"), List.of("good-0"));
  }

  /** Guards against a task that waits beside idle capacity for longer than callers accept. */
  @Test
  void shouldPlaceTaskElsewhereWithinTheWaitThatCallersAccept() {
    DispatcherHarness harness = harnessWithUnresponsiveMinion();

    harness.submit("task", 1, DispatcherHarness.step(1, 1).setDataRack("bad"));
    harness.advanceTime(MAX_IDLE_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task"), List.of("good-0"), harness.events().toString());
    assertEquals(harness.countEvents("START_GIVEN_UP task", "bad"), 1);
  }

  /** Guards against a gang whose other members hold their minions for a start without response. */
  @Test
  void shouldPlaceWholeGangElsewhereWhenOneMinionNeverAnswersStarts() {
    DispatcherHarness harness = harnessWithUnresponsiveMinion();
    harness.addMinion("bad-2", "bad");
    harness.addMinions(2, "good");
    harness.advanceTime(100);

    harness.submit("gang", 1, DispatcherHarness.gang(2, 8).setDataRack("bad"));
    harness.advanceTime(MAX_IDLE_WAIT_MILLIS);

    assertEquals(harness.minionsOf("gang"), List.of("good-0", "good-1"));
  }

  /** Guards against a minion that gets task after task which it never starts. */
  @Test
  void shouldAvoidMinionThatNeverAnswersStarts() {
    DispatcherHarness harness = harnessWithUnresponsiveMinion();
    harness.submit("task", 1, DispatcherHarness.step(1, 1).setDataRack("bad"));
    harness.advanceTime(MAX_IDLE_WAIT_MILLIS);

    harness.submit("gang", 1, DispatcherHarness.gang(4, 1).setDataRack("bad"));
    harness.advanceTime(1_000);

    assertEquals(harness.minionsOf("gang").size(), 4);
    assertFalse(harness.minionsOf("gang").contains("bad"));
  }

  /** Guards against a minion that is avoided for good, although it answers starts again. */
  @Test
  void shouldUseMinionThatAnswersStartsAgain() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion minion = harness.addMinion("m1", "r1");
    minion.ignoreStarts();
    harness.advanceTime(100);
    harness.submit("task", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(MAX_IDLE_WAIT_MILLIS);
    assertTrue(harness.countEvents("START_GIVEN_UP") > 0);

    minion.respondToStarts();
    harness.advanceTime(RECOVERY_MILLIS);
    harness.submit("gang", 1, DispatcherHarness.gang(2, 2));
    harness.advanceTime(1_000);

    assertEquals(harness.minionsOf("task"), List.of("m1"));
    assertEquals(harness.minionsOf("gang"), List.of("m1", "m1"));
  }

  /** Guards against work that waits for good because all minions are avoided. */
  @Test
  void shouldRunAllTasksOnceMinionsAnswerStartsAgain() {
    DispatcherHarness harness = new DispatcherHarness();
    List<FakeMinion> minions = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      minions.add(harness.addMinion("m" + i, "r1"));
    }
    minions.forEach(FakeMinion::ignoreStarts);
    harness.advanceTime(100);
    harness.submit("tasks", 1, DispatcherHarness.step(3, 4));
    harness.submit("gang", 1, DispatcherHarness.gang(2, 4));
    harness.advanceTime(MAX_WAIT_MILLIS);
    assertEquals(harness.minionsOf("tasks"), List.of());

    minions.forEach(FakeMinion::respondToStarts);
    harness.advanceTime(RECOVERY_MILLIS);

    assertEquals(harness.minionsOf("tasks").size(), 3, harness.events().toString());
    assertEquals(harness.minionsOf("gang").size(), 2, harness.events().toString());
  }

  private static DispatcherHarness harnessWithUnresponsiveMinion() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinion("bad", "bad").ignoreStarts();
    harness.addMinions(1, "good");
    harness.advanceTime(100);
    return harness;
  }

  @DataProvider
  Object[][] startFaults() {
    return Stream.of(LossyCluster.StartFault.values())
        .flatMap(
            fault ->
                IntStream.range(0, SEEDS)
                    .mapToObj(seed -> new Object[] {fault, seed % 4 + 1, seed}))
        .toArray(Object[][]::new);
  }

  /**
   * Guards against two runs of a task when a start is carried out or answered after its run was
   * given up, which the cluster checks in each tick, and against tasks that never run.
   */
  @Test(dataProvider = "startFaults")
  void shouldRunEachTaskOnceWhenStartsAreCarriedOutLate(
      LossyCluster.StartFault fault, int faultyMinions, int seed) {
    LossyCluster cluster = new LossyCluster(new Random(seed));
    List<RecoveryMinion> minions = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      minions.add(cluster.addMinion("m" + i, "r1"));
    }
    cluster.advanceTime(2_000);
    minions.subList(0, faultyMinions).forEach(minion -> cluster.setStartFault(minion, fault));
    submit(cluster, "tasks", DispatcherHarness.step(6, 2));
    submit(cluster, "gang", DispatcherHarness.gang(3, 3));
    cluster.advanceTime(MAX_WAIT_MILLIS);

    cluster.heal();
    cluster.advanceTime(RECOVERY_MILLIS);

    if (tasksAtWork(cluster).size() != 9) {
      throw cluster.failure("not all tasks run: " + tasksAtWork(cluster));
    }
    endAll(cluster);
    assertTrue(cluster.recorded().all().stream().allMatch(workflow -> workflow.isEnded()));
  }

  private static Set<String> tasksAtWork(LossyCluster cluster) {
    Set<String> tasks = new HashSet<>();
    for (RecoveryMinion minion : cluster.minions()) {
      minion.running().forEach(run -> tasks.add(RecoveryMinion.taskOf(run)));
    }
    return tasks;
  }

  private static void endAll(LossyCluster cluster) {
    for (RecoveryMinion minion : cluster.minions()) {
      minion.running().forEach(run -> cluster.endTask(minion, run, RunEnd.Cause.DONE));
    }
    cluster.advanceTime(MAX_IDLE_WAIT_MILLIS);
  }

  private static void submit(LossyCluster cluster, String id, WorkflowStep.Builder step) {
    SubmitWorkflow submit =
        SubmitWorkflow.newBuilder()
            .setWorkflowId(id)
            .setTeam("team")
            .setQueue(DispatcherHarness.queue(1))
            .setSpec(WorkflowSpec.newBuilder().setPayload("payload").addSteps(step))
            .build();
    cluster.apply(
        WorkflowBatch.newBuilder().addEvents(WorkflowEvent.newBuilder().setSubmit(submit)).build());
  }
}
