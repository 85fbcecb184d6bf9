package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Checks on the real state of the minions that no workflow waits beside idle capacity: that it does
 * not go without a running task for long while less than half of the capacity is in use and one of
 * its groups would fit twice. Each group of a long-running step is checked by itself.
 */
final class IdleCapacityChecker {

  /** Time for which a workflow may wait beside idle capacity. */
  static final int MAX_WAIT_MILLIS = 3_000;

  /** Time without a disturbance before a wait counts. */
  private static final int CALM_MILLIS = 4_000;

  /** Time after the last run of a long-running group before a wait counts. */
  private static final int RESTART_MILLIS = 6_000;

  private final ModelFleet fleet;
  private final Map<Object, Long> waitingSinceMillis = new HashMap<>();
  private final Map<TaskGroup, Long> lastRunMillis = new HashMap<>();

  IdleCapacityChecker(ModelFleet fleet) {
    this.fleet = fleet;
  }

  /**
   * A workflow that waited beside idle capacity.
   *
   * @param workflow the workflow
   * @param step index of the step
   * @param group a group that could have started
   * @param sinceMillis since when it could have started
   */
  record Violation(Workflow workflow, int step, TaskGroup group, long sinceMillis) {}

  /** Returns a violation, if there is one now. */
  Optional<Violation> check(
      Collection<Workflow> openWorkflows, long lastDisturbanceMillis, long nowMillis) {
    State state = new State(nowMillis);
    Optional<Violation> violation = Optional.empty();
    for (Workflow workflow : openWorkflows) {
      Occurrence occurrence = workflow.occurrence(0);
      for (Candidate candidate : state.update(workflow, occurrence)) {
        long sinceMillis =
            Math.max(
                waitingSinceMillis.computeIfAbsent(candidate.subject, s -> nowMillis),
                lastDisturbanceMillis + CALM_MILLIS);
        if (violation.isEmpty() && nowMillis - sinceMillis >= MAX_WAIT_MILLIS) {
          violation =
              Optional.of(new Violation(workflow, candidate.step, candidate.group, sinceMillis));
        }
      }
    }
    waitingSinceMillis.keySet().retainAll(state.waitingSubjects);
    return violation;
  }

  /** A group that could start, and the workflow or the group that waits. */
  private record Candidate(Object subject, int step, TaskGroup group) {}

  /** The running tasks and the free capacity at one time. */
  private final class State {

    private final long nowMillis;
    private final Map<ModelMinion, Resources> freeByMinion = new HashMap<>();
    private final Set<String> runningWorkflows = new HashSet<>();
    private final Map<TaskKey, Integer> runningTasks = new HashMap<>();
    private final Set<Object> waitingSubjects = new HashSet<>();
    private Resources reachableCapacity = Resources.NONE;
    private Resources reachableFree = Resources.NONE;

    State(long nowMillis) {
      this.nowMillis = nowMillis;
      fleet.minions().forEach(this::add);
    }

    private void add(ModelMinion minion) {
      Resources free = FakeMinion.CAPACITY;
      for (TaskRun run : minion.fake().running()) {
        free = free.minus(WaitingStep.demandOf(fleet.workflow(run.workflowId()).step(run)));
        runningWorkflows.add(run.workflowId());
        runningTasks.merge(new TaskKey(run.workflowId(), run.step(), run.task()), 1, Integer::sum);
      }
      freeByMinion.put(minion, free);
      if (minion.fake().isReachable()) {
        reachableCapacity = reachableCapacity.plus(FakeMinion.CAPACITY);
        reachableFree = reachableFree.plus(free);
      }
    }

    /** Returns the groups of a workflow that wait beside idle capacity. */
    List<Candidate> update(Workflow workflow, Occurrence occurrence) {
      List<Candidate> candidates = new ArrayList<>();
      for (int step = 0; step < workflow.spec().getStepsCount(); step++) {
        for (TaskGroup group : occurrence.groups(step)) {
          boolean running = isRunning(workflow, step, group);
          if (running) {
            lastRunMillis.put(group, nowMillis);
          }
          if (!running && couldStart(workflow, occurrence, step, group)) {
            boolean longRunning = workflow.spec().getSteps(step).getLongRunning();
            candidates.add(new Candidate(longRunning ? group : workflow, step, group));
          }
        }
      }
      candidates.forEach(candidate -> waitingSubjects.add(candidate.subject));
      return candidates;
    }

    private boolean isRunning(Workflow workflow, int step, TaskGroup group) {
      for (int i = 0; i < group.size(); i++) {
        if (runningTasks.containsKey(new TaskKey(workflow.id(), step, group.firstTask() + i))) {
          return true;
        }
      }
      return false;
    }

    private boolean couldStart(
        Workflow workflow, Occurrence occurrence, int stepIndex, TaskGroup group) {
      WorkflowStep step = workflow.spec().getSteps(stepIndex);
      return isTurn(workflow, step, group)
          && !group.isDone()
          && step.getDependsOnList().stream().allMatch(occurrence::isStepDone)
          && isUnderHalfInUse()
          && fitsTwice(workflow, stepIndex, group);
    }

    private boolean isTurn(Workflow workflow, WorkflowStep step, TaskGroup group) {
      if (!step.getLongRunning()) {
        return !runningWorkflows.contains(workflow.id());
      }
      Long lastMillis = lastRunMillis.get(group);
      return lastMillis == null || nowMillis - lastMillis >= RESTART_MILLIS;
    }

    private boolean isUnderHalfInUse() {
      Resources used = reachableCapacity.minus(reachableFree);
      return isUnderHalf(used.cpuMillicores(), reachableCapacity.cpuMillicores())
          && isUnderHalf(used.memoryMegabytes(), reachableCapacity.memoryMegabytes())
          && isUnderHalf(used.accelerators(), reachableCapacity.accelerators());
    }

    private static boolean isUnderHalf(long used, long capacity) {
      return 2 * used < capacity;
    }

    private boolean fitsTwice(Workflow workflow, int stepIndex, TaskGroup group) {
      int needed = 2 * group.size();
      int fitting = 0;
      for (ModelMinion minion : fleet.minions()) {
        if (meetsRequirements(minion, workflow.spec().getSteps(stepIndex))) {
          fitting += countFitting(minion, workflow, stepIndex, needed);
        }
      }
      return fitting >= needed;
    }

    private boolean meetsRequirements(ModelMinion minion, WorkflowStep step) {
      FakeMinion fake = minion.fake();
      String label = step.getRequiredLabel();
      return fake.isReachable()
          && !fake.isDraining()
          && fleet.isInService(fake.rack())
          && minion.isHealthy(nowMillis)
          && (label.isEmpty() || fake.labels().contains(label));
    }

    private int countFitting(ModelMinion minion, Workflow workflow, int stepIndex, int needed) {
      WorkflowStep step = workflow.spec().getSteps(stepIndex);
      Resources free = freeByMinion.getOrDefault(minion, Resources.NONE);
      int fitting = free.countFitting(WaitingStep.demandOf(step), needed);
      int limit = step.getMaxTasksPerMinion();
      if (limit == 0) {
        return fitting;
      }
      long present =
          minion.fake().running().stream()
              .filter(run -> run.workflowId().equals(workflow.id()) && run.step() == stepIndex)
              .count();
      return (int) Math.max(0, Math.min(fitting, limit - present));
    }
  }

  private record TaskKey(String workflowId, int step, int task) {}
}
