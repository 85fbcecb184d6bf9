package org.hickoryspar.kernel.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Whether tasks succeed on a minion. A minion on which a task fails at once, or tasks of several
 * workflows fail one after the other and none succeeds, is isolated for a while and then tried with
 * a single task.
 */
final class MinionHealth {

  /** Workflows that must fail in a row before a minion is isolated. */
  private static final int ISOLATION_THRESHOLD = 2;

  private static final long INITIAL_ISOLATION_MILLIS = 2_000;
  private static final long MAX_ISOLATION_MILLIS = 8_000;

  /** A minion for which no task was found to try it with takes any work after this time. */
  private static final long PROBE_TIMEOUT_MILLIS = 8_000;

  /** A single failure is held against a minion for this long. */
  private static final long RECENT_FAILURE_MILLIS = 4_000;

  /** A minion counts as proven for this long after a task succeeded. */
  private static final long RECENT_SUCCESS_MILLIS = 10_000;

  private final Set<String> failedWorkflows = new LinkedHashSet<>();
  private long lastFailureMillis = Member.NEVER_MILLIS;
  private long lastSuccessMillis = Member.NEVER_MILLIS;
  private long isolatedUntilMillis = Member.NEVER_MILLIS;
  private long isolationMillis;
  private boolean awaitingProbe;

  /**
   * Takes note that a task failed here, at once or after some work; returns whether this isolates
   * the minion.
   */
  boolean recordFailure(String workflowId, boolean immediate, long nowMillis) {
    failedWorkflows.add(workflowId);
    lastFailureMillis = nowMillis;
    if (!awaitingProbe && !immediate && failedWorkflows.size() < ISOLATION_THRESHOLD) {
      return false;
    }
    isolationMillis =
        Math.min(MAX_ISOLATION_MILLIS, Math.max(INITIAL_ISOLATION_MILLIS, 2 * isolationMillis));
    isolatedUntilMillis = nowMillis + isolationMillis;
    awaitingProbe = true;
    return true;
  }

  /** Takes the failures back, which turned out to be the fault of a workflow. */
  void clearFailures() {
    failedWorkflows.clear();
    awaitingProbe = false;
    isolationMillis = 0;
    isolatedUntilMillis = Member.NEVER_MILLIS;
  }

  long remainingIsolationMillis(long nowMillis) {
    return Math.max(0, isolatedUntilMillis - nowMillis);
  }

  /** Returns whether a workflow, and no other, has failed here since a task succeeded. */
  boolean hasOnlyFailuresOf(String workflowId) {
    return failedWorkflows.size() == 1 && failedWorkflows.contains(workflowId);
  }

  /** Takes note that a task succeeded here. */
  void recordSuccess(long nowMillis) {
    lastSuccessMillis = nowMillis;
    clearFailures();
  }

  /** Returns whether a task succeeded here lately and none has failed since. */
  boolean hasRecentSuccess(long nowMillis) {
    return failedWorkflows.isEmpty() && nowMillis - lastSuccessMillis < RECENT_SUCCESS_MILLIS;
  }

  /** Returns whether nothing may be started here. */
  boolean isIsolated(long nowMillis) {
    return nowMillis < isolatedUntilMillis;
  }

  /** Returns whether a single task is to show how the minion is. */
  boolean isAwaitingProbe(long nowMillis) {
    return awaitingProbe && nowMillis - isolatedUntilMillis < PROBE_TIMEOUT_MILLIS;
  }

  /** Returns whether another minion is preferred. */
  boolean hasRecentFailure(long nowMillis) {
    return awaitingProbe
        || (!failedWorkflows.isEmpty() && nowMillis - lastFailureMillis < RECENT_FAILURE_MILLIS);
  }
}
