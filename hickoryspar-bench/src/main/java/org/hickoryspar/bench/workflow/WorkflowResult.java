package org.hickoryspar.bench.workflow;

import java.util.List;
import java.util.Map;

/**
 * What became of the workflows of a run.
 *
 * @param kinds by kind
 * @param broken promises that were broken, in words
 * @param wastedCoreSeconds work that was stopped or lost and not saved; an accelerator counts as 8
 *     cores
 * @param wasteByKindAndCause the same by kind of workflow and cause of the end
 * @param meanDecisionMicros mean time of a round of decisions
 * @param maxDecisionMicros longest round of decisions
 */
record WorkflowResult(
    Map<String, KindResult> kinds,
    List<String> broken,
    long wastedCoreSeconds,
    Map<String, Double> wasteByKindAndCause,
    long meanDecisionMicros,
    long maxDecisionMicros) {

  private static final int LATE_FACTOR = 3;

  /** Returns the share of the credit that was earned. */
  double earnedShare() {
    double owed = kinds.values().stream().mapToDouble(kind -> kind.owed).sum();
    double earned = kinds.values().stream().mapToDouble(kind -> kind.earned).sum();
    return owed == 0 ? 1 : earned / owed;
  }

  /** What became of the workflows of one kind. */
  static final class KindResult {

    private int count;
    private int inTime;
    private int late;
    private double owed;
    private double earned;

    void add(SimulatedWorkflow workflow, long tookMillis) {
      WorkflowKind kind = workflow.kind();
      int tasks = workflow.submission().getSpec().getSteps(0).getTasks();
      double size = tasks * (double) workflow.workMillis() / (kind.tasks() * kind.workMillis());
      double weight = Math.min(4, 0.3 + 0.7 * size);
      count++;
      owed += weight * kind.worth();
      if (tookMillis <= workflow.objectiveMillis()) {
        inTime++;
        earned += weight * kind.worth();
      } else if (tookMillis <= LATE_FACTOR * workflow.objectiveMillis()) {
        late++;
        earned += weight * kind.lateWorth();
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
      return owed == 0 ? 1 : earned / owed;
    }
  }
}
