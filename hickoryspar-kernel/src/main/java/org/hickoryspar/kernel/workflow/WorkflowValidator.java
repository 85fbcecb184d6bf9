package org.hickoryspar.kernel.workflow;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Validates the specification of a workflow before it is accepted. The limits bound the memory that
 * a workflow takes on every replica, and keep sums of its times and amounts within 64 bits.
 */
public final class WorkflowValidator {

  /** Maximum number of steps. */
  public static final int MAX_STEPS = 1_000;

  /** Maximum number of tasks of all steps and occurrences together. */
  public static final int MAX_TASKS = 100_000;

  /** Maximum amount of each resource that one task may demand. */
  public static final long MAX_DEMAND = Integer.MAX_VALUE;

  /** Maximum estimated run time and interval between occurrences: ten years. */
  public static final long MAX_DURATION_MILLIS = 3_650L * 24 * 60 * 60 * 1_000;

  /** Latest due time of the first occurrence, in milliseconds since the epoch: the year 5138. */
  public static final long MAX_DUE_MILLIS = 100_000_000_000_000L;

  private WorkflowValidator() {}

  /**
   * Checks that there is at least one step, that each step has tasks and depends only on earlier
   * steps, and that the limits are kept.
   *
   * @param spec the specification
   * @return the first violation, with the code {@code "malformed"}, or empty if there is none
   */
  public static Optional<Problem> validate(WorkflowSpec spec) {
    requireNonNull(spec, "spec is null");
    if (spec.getStepsCount() == 0 || spec.getStepsCount() > MAX_STEPS) {
      return malformed("expected 1 to " + MAX_STEPS + " steps, found " + spec.getStepsCount());
    }
    long tasks = 0;
    for (int index = 0; index < spec.getStepsCount(); index++) {
      Optional<Problem> problem = validateStep(index, spec.getSteps(index));
      if (problem.isPresent()) {
        return problem;
      }
      tasks += spec.getSteps(index).getTasks();
    }
    long allTasks = tasks * Math.max(1, spec.getOccurrences());
    if (allTasks > MAX_TASKS) {
      return malformed("expected at most " + MAX_TASKS + " tasks, found " + allTasks);
    }
    return validateSchedule(spec);
  }

  private static Optional<Problem> validateStep(int index, WorkflowStep step) {
    if (step.getTasks() < 1) {
      return malformed("expected at least one task in step " + index);
    }
    for (int dependency : step.getDependsOnList()) {
      if (dependency < 0 || dependency >= index) {
        return malformed("step " + index + " must depend only on earlier steps");
      }
    }
    TaskDemand demand = step.getDemand();
    if (isOutOfRange(demand.getCpuMillicores(), MAX_DEMAND)
        || isOutOfRange(demand.getMemoryMegabytes(), MAX_DEMAND)
        || isOutOfRange(demand.getAccelerators(), MAX_DEMAND)) {
      return malformed("expected a demand of 0 to " + MAX_DEMAND + " in step " + index);
    }
    if (isOutOfRange(step.getEstimatedMillis(), MAX_DURATION_MILLIS)
        || isOutOfRange(step.getResponseTargetMillis(), MAX_DURATION_MILLIS)) {
      return malformed("expected times of 0 to " + MAX_DURATION_MILLIS + " ms in step " + index);
    }
    return Optional.empty();
  }

  private static Optional<Problem> validateSchedule(WorkflowSpec spec) {
    return isOutOfRange(spec.getOccurrences(), MAX_TASKS)
            || isOutOfRange(spec.getIntervalMillis(), MAX_DURATION_MILLIS)
            || isOutOfRange(spec.getFirstDueMillis(), MAX_DUE_MILLIS)
        ? malformed("the schedule is out of range")
        : Optional.empty();
  }

  private static boolean isOutOfRange(long value, long max) {
    return value < 0 || value > max;
  }

  private static Optional<Problem> malformed(String message) {
    return Optional.of(Problem.of("malformed", message));
  }
}
