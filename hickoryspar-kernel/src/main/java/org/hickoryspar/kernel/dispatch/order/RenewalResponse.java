package org.hickoryspar.kernel.dispatch.order;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;

/**
 * The response of a minion to the renewal of its lease.
 *
 * @param clockMillis monotonic clock of the minion
 * @param bornMillis start of the minion's process in milliseconds since the epoch, 0 if unknown
 * @param running the running tasks
 * @param ended the ends that are not acknowledged, in ascending order of their numbers
 */
public record RenewalResponse(
    long clockMillis, long bornMillis, List<RunningTask> running, List<EndedTask> ended) {

  /** Copies the lists, which must not contain null. */
  public RenewalResponse {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A running task.
   *
   * @param taskRun the task and the number of the run
   * @param checkpoint newest checkpoint, empty for none
   * @param percent progress, 0 to 100
   * @param usage tail latency in milliseconds for a task that serves requests, otherwise the
   *     processor use in thousandths of a core; -1 if unknown
   */
  public record RunningTask(TaskRun taskRun, String checkpoint, int percent, long usage) {

    /** Rejects null components with a {@link NullPointerException}. */
    public RunningTask {
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(checkpoint, "checkpoint is null");
    }
  }

  /**
   * An ended task.
   *
   * @param number number of the end, which increases by one with each end in a life of the minion
   * @param taskRun the task and the number of the run
   * @param cause why the task ended
   * @param checkpoint newest checkpoint, empty for none
   */
  public record EndedTask(long number, TaskRun taskRun, RunEnd.Cause cause, String checkpoint) {

    /** Rejects null components with a {@link NullPointerException}. */
    public EndedTask {
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(cause, "cause is null");
      requireNonNull(checkpoint, "checkpoint is null");
    }
  }
}
