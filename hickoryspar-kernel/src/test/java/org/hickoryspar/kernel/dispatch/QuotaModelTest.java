package org.hickoryspar.kernel.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.quota.LimitedResource;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays more work than a quota permits beside changes of the quota, random failures of leaders and
 * minions, and links on which orders arrive late or not at all. The invariants: no start on a
 * minion brings what the team has running above the highest quota that may be in force, and one
 * task more; once the failures have ended, all work runs.
 */
public class QuotaModelTest {

  private static final int SEEDS = 100;
  private static final int MINIONS = 6;
  private static final int MAX_OPEN_WORKFLOWS = 10;
  private static final int STEPS = 400;
  private static final int STEP_MILLIS = 50;
  private static final int MAX_DISTURBANCE_MILLIS = 6_000;
  private static final int CALM_MILLIS = 20_000;
  private static final int END_ROUNDS = 60;
  private static final int END_ROUND_MILLIS = 1_000;

  /** A quota may be in force this long after a lower one was accepted. */
  private static final int CHANGE_MILLIS = 3_000;

  private static final String TEAM = "team";
  private static final Resources NO_LIMIT =
      new Resources(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  @DataProvider
  Object[][] seeds() {
    Integer replayed = Integer.getInteger("hickoryspar.seed");
    int count = Integer.getInteger("hickoryspar.seeds", SEEDS);
    IntStream seeds = replayed == null ? IntStream.range(0, count) : IntStream.of(replayed);
    return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /**
   * Guards against a start above the quota, and against work that a quota keeps waiting for ever.
   */
  @Test(dataProvider = "seeds")
  void shouldKeepTheQuotaAndRunAllWorkWhenFailuresHaveEnded(int seed) {
    Schedule schedule = new Schedule(seed);
    for (int i = 0; i < STEPS; i++) {
      schedule.act();
      schedule.cluster.advanceTime(STEP_MILLIS);
    }
    schedule.endFailures();
    schedule.cluster.advanceTime(CALM_MILLIS);
    schedule.endTasks();
  }

  /** The workflows, the quotas and the failures of one seed. */
  private static final class Schedule {

    private final Random random;
    private final LossyCluster cluster;
    private final Deque<QuotaChange> changes = new ArrayDeque<>();
    private int submitted;

    Schedule(int seed) {
      random = new Random(seed);
      cluster = new LossyCluster(random);
      cluster.setStartListener(this::checkStart);
      for (int i = 0; i < MINIONS; i++) {
        cluster.addMinion("m" + i, "r" + i % 2);
      }
      changeQuota();
    }

    void act() {
      if (openWorkflows().size() < MAX_OPEN_WORKFLOWS) {
        submit();
      }
      if (random.nextInt(3) == 0) {
        endRandomTask();
      }
      if (random.nextInt(40) == 0) {
        changeQuota();
      }
      fail();
    }

    private List<Workflow> openWorkflows() {
      return cluster.recorded().all().stream().filter(workflow -> !workflow.isEnded()).toList();
    }

    private void submit() {
      WorkflowStep.Builder step =
          switch (random.nextInt(3)) {
            case 0 -> DispatcherHarness.step(1 + random.nextInt(8), 1 + random.nextInt(3));
            case 1 -> DispatcherHarness.gang(2 + random.nextInt(3), 1 + random.nextInt(4));
            default -> DispatcherHarness.step(1 + random.nextInt(8), 1).setFills(true);
          };
      submitted++;
      SubmitWorkflow.Builder submission =
          SubmitWorkflow.newBuilder()
              .setWorkflowId("w" + submitted)
              .setTeam(random.nextInt(4) == 0 ? "other" : TEAM)
              .setQueue(DispatcherHarness.queue(random.nextInt(3)))
              .setSpec(WorkflowSpec.newBuilder().setPayload("payload").addSteps(step));
      cluster.apply(
          WorkflowBatch.newBuilder()
              .addEvents(WorkflowEvent.newBuilder().setSubmit(submission))
              .build());
    }

    private void endRandomTask() {
      List<RecoveryMinion> minions = cluster.minions();
      RecoveryMinion minion = minions.get(random.nextInt(minions.size()));
      if (!minion.running().isEmpty()) {
        TaskRun run = minion.running().get(random.nextInt(minion.running().size()));
        cluster.endTask(minion, run, RunEnd.Cause.DONE);
      }
    }

    // Never below the guarantee of the team, which is 16 accelerators.
    private void changeQuota() {
      TaskDemand quota =
          TaskDemand.newBuilder()
              .setCpuMillicores(random.nextBoolean() ? 0 : 1_000L * (6 + random.nextInt(24)))
              .setAccelerators(random.nextInt(8) == 0 ? 0 : 16 + random.nextInt(24))
              .build();
      changes.addLast(new QuotaChange(cluster.nowMillis(), limitOf(quota)));
      cluster.setQuota(TEAM, quota);
    }

    private static Resources limitOf(TaskDemand quota) {
      return new Resources(
          quota.getCpuMillicores() == 0 ? Long.MAX_VALUE : quota.getCpuMillicores(),
          Long.MAX_VALUE,
          quota.getAccelerators() == 0 ? Long.MAX_VALUE : quota.getAccelerators());
    }

    private void fail() {
      List<RecoveryMinion> minions = cluster.minions();
      RecoveryMinion minion = minions.get(random.nextInt(minions.size()));
      long untilMillis = cluster.nowMillis() + random.nextInt(MAX_DISTURBANCE_MILLIS);
      switch (random.nextInt(120)) {
        case 0 -> cluster.startLeader();
        case 1, 2 -> cluster.startSession();
        case 3, 4, 5 -> cluster.cut(minion, untilMillis);
        case 6 -> cluster.silence(minion, untilMillis);
        case 7 -> cluster.restart(minion);
        case 8, 9, 10, 11, 12 -> cluster.setLossy(true);
        case 13 -> cluster.setLossy(false);
        default -> {}
      }
    }

    void endFailures() {
      cluster.heal();
    }

    // -- invariants

    private void checkStart(TaskRun started) {
      Resources task = demandOf(started);
      if (!teamOf(started).equals(TEAM)) {
        return;
      }
      Resources running = Resources.NONE;
      for (RecoveryMinion minion : cluster.minions()) {
        for (TaskRun run : minion.running()) {
          if (teamOf(run).equals(TEAM)) {
            running = running.plus(demandOf(run));
          }
        }
      }
      Resources quota = highestQuota();
      for (LimitedResource resource : LimitedResource.values()) {
        long excess = resource.amountIn(running) - resource.amountIn(task);
        if (excess > resource.amountIn(quota)) {
          throw cluster.failure(
              "start of " + started + " brings the team to " + running + " of " + quota);
        }
      }
    }

    private Resources highestQuota() {
      List<QuotaChange> inForce = new ArrayList<>(changes);
      // A change ends the one before it after some time.
      while (inForce.size() > 1
          && inForce.get(1).timeMillis < cluster.nowMillis() - CHANGE_MILLIS) {
        inForce.remove(0);
      }
      Resources highest = Resources.NONE;
      for (QuotaChange change : inForce) {
        highest =
            new Resources(
                Math.max(highest.cpuMillicores(), change.limit.cpuMillicores()),
                NO_LIMIT.memoryMegabytes(),
                Math.max(highest.accelerators(), change.limit.accelerators()));
      }
      return highest;
    }

    private Resources demandOf(TaskRun run) {
      return Resources.of(workflowOf(run).spec().getSteps(run.step()).getDemand());
    }

    private String teamOf(TaskRun run) {
      return workflowOf(run).submission().getTeam();
    }

    private Workflow workflowOf(TaskRun run) {
      return cluster.recorded().find(run.workflowId()).orElseThrow();
    }

    void endTasks() {
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
  }

  private record QuotaChange(long timeMillis, Resources limit) {}
}
