package org.hickoryspar.kernel.minion;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Tracks whether tasks succeed on a minion. A minion is isolated if a task fails immediately, or if
 * tasks of several workflows fail without a success in between. After the isolation it is probed
 * with a single task; a failed probe doubles the time of isolation, up to a limit. A minion that
 * rejects a start as unhealthy is isolated for a short time, without a probe. A minion that does
 * not respond to starts is isolated like one that fails tasks, until it responds to one.
 */
public final class MinionHealth {

  /** Number of workflows that fail without a success in between before a minion is isolated. */
  private static final int ISOLATION_THRESHOLD = 2;

  private static final long INITIAL_ISOLATION_MILLIS = 2_000;
  private static final long MAX_ISOLATION_MILLIS = 8_000;

  /** A minion that could not be probed accepts any work this long after its isolation. */
  private static final long PROBE_TIMEOUT_MILLIS = 8_000;

  /** Time for which other minions are preferred after a single failure. */
  private static final long RECENT_FAILURE_MILLIS = 4_000;

  /** Time for which a success counts as recent. */
  private static final long RECENT_SUCCESS_MILLIS = 10_000;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final Set<String> failedWorkflows = new LinkedHashSet<>();
  private long lastFailureMillis = NEVER_MILLIS;
  private long lastSuccessMillis = NEVER_MILLIS;
  private long isolatedUntilMillis = NEVER_MILLIS;
  private long isolationMillis;
  private boolean awaitingProbe;
  private boolean unresponsiveToStarts;

  /**
   * Records the failure of a task.
   *
   * @param workflowId the workflow of the task
   * @param immediate whether the task failed right after its start
   * @param nowMillis monotonic time in milliseconds
   * @return whether the failure isolates the minion
   */
  public boolean recordFailure(String workflowId, boolean immediate, long nowMillis) {
    failedWorkflows.add(requireNonNull(workflowId, "workflowId is null"));
    lastFailureMillis = nowMillis;
    if (!awaitingProbe && !immediate && failedWorkflows.size() < ISOLATION_THRESHOLD) {
      return false;
    }
    isolate(nowMillis);
    return true;
  }

  private void isolate(long nowMillis) {
    isolationMillis =
        Math.min(MAX_ISOLATION_MILLIS, Math.max(INITIAL_ISOLATION_MILLIS, 2 * isolationMillis));
    isolatedUntilMillis = nowMillis + isolationMillis;
    awaitingProbe = true;
  }

  /**
   * Isolates the minion because it has not responded to the starts of a task. Starts of other tasks
   * that are given up during the isolation do not extend it.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordUnansweredStarts(long nowMillis) {
    if (!unresponsiveToStarts || !isIsolated(nowMillis)) {
      unresponsiveToStarts = true;
      isolate(nowMillis);
    }
  }

  /**
   * Extends an isolation for unanswered starts, because only their deadline has ended a run.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordExpiredStart(long nowMillis) {
    if (unresponsiveToStarts) {
      isolatedUntilMillis = Math.max(isolatedUntilMillis, nowMillis + INITIAL_ISOLATION_MILLIS);
    }
  }

  /** Ends an isolation for unanswered starts after a response to a start. */
  public void recordStartResponse() {
    if (unresponsiveToStarts) {
      unresponsiveToStarts = false;
      if (failedWorkflows.isEmpty()) {
        clearFailures();
      }
    }
  }

  /**
   * Isolates the minion for a short time because it has rejected a start as unhealthy.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordRejection(long nowMillis) {
    isolatedUntilMillis = Math.max(isolatedUntilMillis, nowMillis + INITIAL_ISOLATION_MILLIS);
  }

  /** Clears the failures after a success, or after they are attributed to a workflow. */
  public void clearFailures() {
    failedWorkflows.clear();
    unresponsiveToStarts = false;
    awaitingProbe = false;
    isolationMillis = 0;
    isolatedUntilMillis = NEVER_MILLIS;
  }

  /**
   * Returns for how long the minion remains isolated.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the rest of the isolation in milliseconds, 0 without one
   */
  public long remainingIsolationMillis(long nowMillis) {
    return Math.max(0, isolatedUntilMillis - nowMillis);
  }

  /**
   * Returns whether all failures since the last success are of one workflow.
   *
   * @param workflowId the workflow
   * @return true if there are failures and all are of that workflow
   */
  public boolean hasOnlyFailuresOf(String workflowId) {
    requireNonNull(workflowId, "workflowId is null");
    return failedWorkflows.size() == 1 && failedWorkflows.contains(workflowId);
  }

  /**
   * Records the success of a task.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordSuccess(long nowMillis) {
    lastSuccessMillis = nowMillis;
    // Tasks that run already say nothing of starts.
    if (unresponsiveToStarts) {
      failedWorkflows.clear();
    } else {
      clearFailures();
    }
  }

  /**
   * Returns whether a task has succeeded recently and none has failed since.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true after a recent success
   */
  public boolean hasRecentSuccess(long nowMillis) {
    return failedWorkflows.isEmpty()
        && !unresponsiveToStarts
        && nowMillis - lastSuccessMillis < RECENT_SUCCESS_MILLIS;
  }

  /**
   * Returns whether the minion is avoided because of failures.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true during an isolation
   */
  public boolean isIsolated(long nowMillis) {
    return nowMillis < isolatedUntilMillis;
  }

  /**
   * Returns whether the minion is given a single task as a probe before other work.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true after an isolation, until a probe succeeds or the time for it is over
   */
  public boolean isAwaitingProbe(long nowMillis) {
    return awaitingProbe && nowMillis - isolatedUntilMillis < PROBE_TIMEOUT_MILLIS;
  }

  /**
   * Returns whether other minions are preferred because of a failure.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true for some time after a failure
   */
  public boolean hasRecentFailure(long nowMillis) {
    return awaitingProbe
        || (!failedWorkflows.isEmpty() && nowMillis - lastFailureMillis < RECENT_FAILURE_MILLIS);
  }
}
