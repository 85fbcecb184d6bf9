package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.CancelWorkflow;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays random workflows beside random failures of leaders, sessions, links and minions, then none.
 * The invariants: no task ever runs twice; soon after the last failure each minion is usable and
 * each task whose turn has come runs; each workflow ends once its tasks have; nothing stays
 * allocated after that.
 */
public class RunRecoveryModelTest {

  private static final int SEEDS = 200;
  private static final int RACKS = 2;
  private static final int MINIONS_PER_RACK = 3;
  private static final int MAX_LOST_MINIONS = 1;
  private static final int MAX_OPEN_WORKFLOWS = 5;
  private static final int STEPS = 400;
  private static final int STEP_MILLIS = 50;

  /** Number of steps in which another writer sends one report on average. */
  private static final int FOREIGN_REPORT_STEPS = 8;

  private static final int MAX_DISTURBANCE_MILLIS = 9_000;

  /** Long enough for the lease of a lost minion and for the isolation and probe of another. */
  private static final int CALM_MILLIS = 20_000;

  private static final int END_ROUNDS = 30;
  private static final int END_ROUND_MILLIS = 1_000;

  @DataProvider
  Object[][] seeds() {
    Integer replayed = Integer.getInteger("hickoryspar.seed");
    int count = Integer.getInteger("hickoryspar.seeds", SEEDS);
    IntStream seeds = replayed == null ? IntStream.range(0, count) : IntStream.of(replayed);
    return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /** Guards against a task that waits for ever although nothing keeps it from running. */
  @Test(dataProvider = "seeds")
  void shouldRunAllTasksWhenFailuresHaveEnded(int seed) {
    play(new Schedule(seed));
  }

  /**
   * Guards against tasks that run twice, and minions that are not used, because of a report of a
   * writer that is no minion.
   */
  @Test(dataProvider = "seeds")
  void shouldRunAllTasksOnceWhenAnotherWriterSendsReports(int seed) {
    Schedule schedule = new Schedule(seed);
    schedule.foreignReports = new ForeignReports(new Random(seed));
    play(schedule);
  }

  private static void play(Schedule schedule) {
    for (int i = 0; i < STEPS; i++) {
      schedule.act();
      schedule.cluster.advanceTime(STEP_MILLIS);
    }
    schedule.endFailures();
    schedule.cluster.advanceTime(CALM_MILLIS);
    schedule.checkMinionsUsable();
    schedule.checkTasksRun();
    schedule.endTasks();
    schedule.checkNothingAllocated();
  }

  /** The workflows and the failures of one seed. */
  private static final class Schedule {

    private final Random random;
    private final LossyCluster cluster;
    private final List<RecoveryMinion> lostMinions = new ArrayList<>();
    private int submitted;
    private @Nullable ForeignReports foreignReports;

    Schedule(int seed) {
      random = new Random(seed);
      cluster = new LossyCluster(random);
      for (int rack = 0; rack < RACKS; rack++) {
        for (int i = 0; i < MINIONS_PER_RACK; i++) {
          cluster.addMinion("m" + rack + i, "r" + rack);
        }
      }
    }

    // -- workflows

    void act() {
      if (random.nextInt(6) == 0 && openWorkflows().size() < MAX_OPEN_WORKFLOWS) {
        submit();
      }
      if (random.nextInt(4) == 0) {
        endRandomTask();
      }
      if (random.nextInt(100) == 0 && !openWorkflows().isEmpty()) {
        cancel(openWorkflows().get(random.nextInt(openWorkflows().size())));
      }
      fail();
      if (foreignReports != null && foreignReports.isNext(FOREIGN_REPORT_STEPS)) {
        sendForeignReport(foreignReports);
      }
    }

    private void sendForeignReport(ForeignReports writer) {
      List<String> addresses = cluster.minions().stream().map(RecoveryMinion::id).toList();
      RecoveryMinion minion = cluster.minions().get(random.nextInt(addresses.size()));
      cluster.report(writer.next(minion.report(cluster.nowMillis()), addresses));
    }

    private List<Workflow> openWorkflows() {
      return cluster.recorded().all().stream().filter(workflow -> !workflow.isEnded()).toList();
    }

    private void submit() {
      WorkflowSpec.Builder spec = WorkflowSpec.newBuilder().setPayload("payload");
      switch (random.nextInt(5)) {
        case 0 -> spec.addSteps(DispatcherHarness.step(1 + random.nextInt(3), 1));
        case 1 -> spec.addSteps(DispatcherHarness.gang(2 + random.nextInt(2), 2));
        case 2 -> spec.addSteps(DispatcherHarness.step(1, 1).setLongRunning(true));
        case 3 ->
            spec.addSteps(DispatcherHarness.step(1, 1))
                .setOccurrences(2)
                .setFirstDueMillis(cluster.nowMillis() + random.nextInt(5_000))
                .setIntervalMillis(3_000);
        default ->
            spec.addSteps(DispatcherHarness.step(2, 1))
                .addSteps(DispatcherHarness.gang(2, 1).addDependsOn(0));
      }
      submitted++;
      propose(
          WorkflowEvent.newBuilder()
              .setSubmit(
                  SubmitWorkflow.newBuilder()
                      .setWorkflowId("w" + submitted)
                      .setTeam("team")
                      .setQueue(DispatcherHarness.queue(random.nextInt(3)))
                      .setSpec(spec)));
    }

    private void cancel(Workflow workflow) {
      cluster.record("cancel of " + workflow.id());
      propose(
          WorkflowEvent.newBuilder()
              .setCancel(CancelWorkflow.newBuilder().setWorkflowId(workflow.id())));
    }

    private void propose(WorkflowEvent.Builder event) {
      cluster.apply(WorkflowBatch.newBuilder().addEvents(event).build());
    }

    private void endRandomTask() {
      List<RecoveryMinion> minions = cluster.minions();
      RecoveryMinion minion = minions.get(random.nextInt(minions.size()));
      if (!minion.running().isEmpty()) {
        TaskRun run = minion.running().get(random.nextInt(minion.running().size()));
        cluster.endTask(minion, run, mayFail(run) ? RunEnd.Cause.TASK_FAILED : RunEnd.Cause.DONE);
      }
    }

    // One failure is less than the attempts of a task, and leaves enough minions without one.
    private boolean mayFail(TaskRun run) {
      TaskGroup group = groupOf(run);
      return random.nextInt(6) == 0 && group.size() == 1 && group.lastRun() == 1;
    }

    private TaskGroup groupOf(TaskRun run) {
      return cluster
          .recorded()
          .find(run.workflowId())
          .orElseThrow()
          .findGroup(run.occurrence(), run.step(), run.task())
          .orElseThrow();
    }

    // -- failures

    private void fail() {
      List<RecoveryMinion> minions = cluster.minions();
      RecoveryMinion minion = minions.get(random.nextInt(minions.size()));
      long untilMillis = cluster.nowMillis() + random.nextInt(MAX_DISTURBANCE_MILLIS);
      switch (random.nextInt(160)) {
        case 0 -> cluster.startLeader();
        case 1, 2 -> cluster.startSession();
        case 3, 4, 5 -> cluster.cut(minion, untilMillis);
        case 6 -> cluster.silence(minion, untilMillis);
        case 7, 8 -> restart(minion);
        case 9 -> crash(minion);
        case 10 -> loseForGood(minion);
        case 11, 12, 13 -> setLossy(true);
        case 14, 15 -> setLossy(false);
        case 16 -> cluster.leave(minion);
        default -> {}
      }
    }

    private void setLossy(boolean lossy) {
      cluster.record("lossy: " + lossy);
      cluster.setLossy(lossy);
    }

    private void restart(RecoveryMinion minion) {
      if (!lostMinions.contains(minion)) {
        cluster.restart(minion);
      }
    }

    private void crash(RecoveryMinion minion) {
      if (minion.isUp()) {
        cluster.crash(minion);
      }
    }

    private void loseForGood(RecoveryMinion minion) {
      if (lostMinions.size() < MAX_LOST_MINIONS) {
        crash(minion);
        lostMinions.add(minion);
      }
    }

    void endFailures() {
      cluster.heal();
      cluster.minions().stream().filter(minion -> !minion.isUp()).forEach(this::restart);
    }

    // -- invariants

    void checkMinionsUsable() {
      int usable = cluster.minions().size() - lostMinions.size();
      assertEquals(
          cluster.status().usableMinions(),
          usable,
          cluster.failure("not all minions are usable: " + cluster.status()).getMessage());
    }

    void checkTasksRun() {
      Set<String> running = new HashSet<>();
      cluster
          .minions()
          .forEach(m -> m.running().forEach(r -> running.add(RecoveryMinion.taskOf(r))));
      for (Workflow workflow : openWorkflows()) {
        for (int number = 0; number < workflow.occurrenceCount(); number++) {
          if (!workflow.isOccurrenceCompleted(number)) {
            checkTasksRun(workflow, workflow.occurrence(number), running);
          }
        }
      }
    }

    private void checkTasksRun(Workflow workflow, Occurrence occurrence, Set<String> running) {
      for (int step = 0; step < workflow.spec().getStepsCount(); step++) {
        WorkflowStep spec = workflow.spec().getSteps(step);
        if (!spec.getDependsOnList().stream().allMatch(occurrence::isStepDone)) {
          continue;
        }
        for (TaskGroup group : occurrence.groups(step)) {
          for (int i = 0; i < group.size() && !group.isDone(); i++) {
            int task = group.firstTask() + i;
            TaskRun run = new TaskRun(workflow.id(), occurrence.number(), step, task, 1);
            if (!running.contains(RecoveryMinion.taskOf(run))) {
              throw cluster.failure(
                  "task does not run: " + RecoveryMinion.taskOf(run) + ", " + cluster.status());
            }
          }
        }
      }
    }

    void endTasks() {
      openWorkflows().stream()
          .filter(workflow -> workflow.spec().getSteps(0).getLongRunning())
          .forEach(this::cancel);
      for (int i = 0; i < END_ROUNDS && !openWorkflows().isEmpty(); i++) {
        for (RecoveryMinion minion : cluster.minions()) {
          minion.running().forEach(run -> cluster.endTask(minion, run, RunEnd.Cause.DONE));
        }
        cluster.advanceTime(END_ROUND_MILLIS);
      }
      if (!openWorkflows().isEmpty()) {
        throw cluster.failure("workflows do not end: " + openWorkflows());
      }
    }

    void checkNothingAllocated() {
      cluster.advanceTime(END_ROUND_MILLIS * 3L);
      DispatcherStatus status = cluster.status();
      boolean stillRunning = cluster.minions().stream().anyMatch(m -> !m.running().isEmpty());
      if (status.runningGroups() > 0
          || status.waitingGroups() > 0
          || status.freeAccelerators() != status.accelerators()
          || stillRunning) {
        throw cluster.failure("something stays allocated: " + status);
      }
    }
  }
}
