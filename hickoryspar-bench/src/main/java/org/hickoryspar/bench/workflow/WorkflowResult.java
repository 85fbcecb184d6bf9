package org.hickoryspar.bench.workflow;

import java.util.List;
import java.util.Map;

/**
 * The result of a simulation.
 *
 * @param kinds counts and credit by kind of workflow
 * @param violations descriptions of the violated invariants
 * @param wastedCoreSeconds work of stopped or lost runs that was not checkpointed; an accelerator
 *     counts as 8 cores
 * @param wasteByKindAndCause the same by kind of workflow and cause of the end
 * @param meanDecisionMicros mean measured time of a planning round of the dispatcher
 * @param maxDecisionMicros longest measured time of a planning round
 */
record WorkflowResult(
    Map<String, KindResult> kinds,
    List<String> violations,
    long wastedCoreSeconds,
    Map<String, Double> wasteByKindAndCause,
    long meanDecisionMicros,
    long maxDecisionMicros) {

  private static final int LATE_FACTOR = 3;

  /** Returns the earned share of the maximum credit, 1 if there are no workflows. */
  double earnedShare() {
    double maxCredit = kinds.values().stream().mapToDouble(kind -> kind.maxCredit).sum();
    double earnedCredit = kinds.values().stream().mapToDouble(kind -> kind.earnedCredit).sum();
    return maxCredit == 0 ? 1 : earnedCredit / maxCredit;
  }

  /** Counts and credit of the workflows of one kind. */
  static final class KindResult {

    private int count;
    private int inTime;
    private int late;
    private double maxCredit;
    private double earnedCredit;

    void recordWorkflow(SimulatedWorkflow workflow, long durationMillis) {
      WorkflowKind kind = workflow.kind();
      int tasks = workflow.submission().getSpec().getSteps(0).getTasks();
      double relativeSize =
          tasks * (double) workflow.workMillis() / (kind.tasks() * kind.workMillis());
      double sizeWeight = Math.min(4, 0.3 + 0.7 * relativeSize);
      count++;
      maxCredit += sizeWeight * kind.worth();
      if (durationMillis <= workflow.completionTargetMillis()) {
        inTime++;
        earnedCredit += sizeWeight * kind.worth();
      } else if (durationMillis <= LATE_FACTOR * workflow.completionTargetMillis()) {
        late++;
        earnedCredit += sizeWeight * kind.lateWorth();
      }
    }

    int count() {
      return count;
    }

    int inTime() {
      return inTime;
    }

    int late() {
      return late;
    }

    double earnedShare() {
      return maxCredit == 0 ? 1 : earnedCredit / maxCredit;
    }
  }
}
