package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;

/**
 * What a minion said to a renewal of its lease.
 *
 * @param clockMillis the minion's steady clock
 * @param bornMillis start of the minion's process in milliseconds since the epoch, 0 if not told
 * @param running what runs
 * @param ended ends that are not acknowledged, in the order of their numbers
 */
public record RenewalResponse(
    long clockMillis, long bornMillis, List<RunningTask> running, List<EndedTask> ended) {

  /** Copies the lists. */
  public RenewalResponse {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A task that runs.
   *
   * @param taskRun the task and the number of the run
   * @param checkpoint newest checkpoint, empty for none
   * @param percent progress, 0 to 100
   * @param usage tail of the response times in milliseconds for a task that serves; otherwise the
   *     processor in use in thousandths of a core; -1 if not told
   */
  public record RunningTask(TaskRun taskRun, String checkpoint, int percent, long usage) {

    /** Checks the components. */
    public RunningTask {
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(checkpoint, "checkpoint is null");
    }
  }

  /**
   * A task that ended.
   *
   * @param number number of the end, rising by one within a life of the minion
   * @param taskRun the task and the number of the run
   * @param cause why it ended
   * @param checkpoint newest checkpoint, empty for none
   */
  public record EndedTask(long number, TaskRun taskRun, RunEnd.Cause cause, String checkpoint) {

    /** Checks the components. */
    public EndedTask {
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(cause, "cause is null");
      requireNonNull(checkpoint, "checkpoint is null");
    }
  }
}
