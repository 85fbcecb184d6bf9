package org.hickoryspar.kernel.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hickoryspar.kernel.dispatch.ModelWorkflow.Behaviour;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowState;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * A stream of small tasks of random run times on each minion and, one at a time, gangs of higher
 * rank that want one rack. A gang of whole minions never fits by chance. All that is submitted and
 * has not ended stays below half of the capacity.
 */
final class LargeGangModel {

  private static final int DURATION_MILLIS = 20_000;
  private static final int MIN_RUN_MILLIS = 200;
  private static final int MAX_RUN_MILLIS = 2_000;

  /** Time after its submission within which a gang must run: the longest run and a margin. */
  private static final int MAX_START_MILLIS = MAX_RUN_MILLIS + 3_000;

  /** Share of the accelerators that a gang occupies at most. */
  private static final int MAX_GANG_PERCENT = 28;

  private static final int MAX_PAUSE_MILLIS = 3_000;

  private static final String TEAM = "team";

  private final Random random;
  private final int rackSize;
  private final ModelFleet fleet;
  private final Map<ModelMinion, Workflow> stream = new LinkedHashMap<>();
  private Workflow gang;
  private long gangSubmittedMillis;
  private long nextGangMillis;
  private int count;

  LargeGangModel(int seed) {
    random = new Random(seed);
    rackSize = 2 + random.nextInt(3);
    fleet = new ModelFleet(random, 2 + random.nextInt(3), rackSize);
    fleet.minions().forEach(minion -> minion.fake().addLabel(minion.fake().id()));
    nextGangMillis = fleet.nowMillis() + random.nextInt(MAX_PAUSE_MILLIS);
  }

  /** Plays the schedule until the end or the first gang that waits for too long. */
  Optional<String> findViolation() {
    long endMillis = fleet.nowMillis() + DURATION_MILLIS;
    while (fleet.nowMillis() < endMillis) {
      submitStream();
      submitGangIfDue();
      fleet.advance();
      if (gang != null && isWaitingTooLong(gang)) {
        return Optional.of(
            fleet.nowMillis() + ": " + gang.id() + " waits\n" + gang.spec() + describe(gang));
      }
    }
    return Optional.empty();
  }

  private boolean isWaitingTooLong(Workflow waiting) {
    return waiting.state() == WorkflowState.WORKFLOW_QUEUED
        && fleet.nowMillis() - gangSubmittedMillis > MAX_START_MILLIS;
  }

  private String describe(Workflow waiting) {
    return fleet.describe(waiting.id());
  }

  private void submitStream() {
    for (ModelMinion minion : fleet.minions()) {
      Workflow previous = stream.get(minion);
      if (previous == null || previous.isEnded()) {
        WorkflowStep.Builder step = step(1, 1).setRequiredLabel(minion.fake().id());
        stream.put(minion, fleet.submit(newWorkflow(2, step)));
      }
    }
  }

  private void submitGangIfDue() {
    if (gang != null && gang.isEnded()) {
      gang = null;
      nextGangMillis = fleet.nowMillis() + random.nextInt(MAX_PAUSE_MILLIS);
    }
    if (gang == null && fleet.nowMillis() >= nextGangMillis) {
      gangSubmittedMillis = fleet.nowMillis();
      gang = fleet.submit(newWorkflow(1, gangStep()));
    }
  }

  private WorkflowStep.Builder gangStep() {
    int minionAccelerators = (int) FakeMinion.CAPACITY.accelerators();
    int accelerators =
        random.nextBoolean() ? minionAccelerators : 1 + random.nextInt(minionAccelerators);
    int rackTasks = rackSize * (minionAccelerators / accelerators);
    int maxTasks = Math.min(rackTasks, maxGangAccelerators() / accelerators);
    int tasks = Math.max(1, maxTasks - random.nextInt(2));
    return step(tasks, accelerators).setGang(true).setSameRack(true);
  }

  private int maxGangAccelerators() {
    return fleet.accelerators() * MAX_GANG_PERCENT / 100;
  }

  private static WorkflowStep.Builder step(int tasks, int accelerators) {
    return WorkflowStep.newBuilder()
        .setTasks(tasks)
        .setDemand(
            TaskDemand.newBuilder()
                .setCpuMillicores(1_000)
                .setMemoryMegabytes(1_000)
                .setAccelerators(accelerators));
  }

  private ModelWorkflow newWorkflow(int priority, WorkflowStep.Builder step) {
    long runMillis = MIN_RUN_MILLIS + random.nextInt(MAX_RUN_MILLIS - MIN_RUN_MILLIS);
    step.setEstimatedMillis(RandomWorkflows.inaccurate(random, runMillis));
    return new ModelWorkflow(
        "w" + count++,
        TEAM,
        priority,
        List.of(step.build()),
        List.of(new Behaviour(runMillis, 0, false)));
  }
}
