package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

/**
 * A call to a minion that the owner of a {@link Dispatcher} must make. An order that gets no answer
 * may have been carried out, and may be carried out later.
 */
public sealed interface Order {

  /**
   * Returns the minion that the order is for.
   *
   * @return the minion
   */
  MinionTarget target();

  /**
   * Renews the lease of a minion, acknowledges ends and asks for what runs.
   *
   * @param target the minion
   * @param deadlineMillis end of the lease on the minion's clock; 0 to grant nothing
   * @param recordedEndNumber the last end that is recorded durably, 0 for none
   * @param waitMillis how long the answer may wait for an end
   */
  record Renew(MinionTarget target, long deadlineMillis, long recordedEndNumber, long waitMillis)
      implements Order {

    /** Checks the components. */
    public Renew {
      requireNonNull(target, "target is null");
    }
  }

  /**
   * Starts a task.
   *
   * @param target the minion
   * @param taskRun the task and the number of the run
   * @param payload what the caller gave for the task
   * @param checkpoint where to resume, empty to start from the beginning
   * @param ticket permission of an adviser, empty for none
   * @param deadlineMillis time on the minion's clock after which the order must not take effect
   */
  record Start(
      MinionTarget target,
      TaskRun taskRun,
      String payload,
      String checkpoint,
      String ticket,
      long deadlineMillis)
      implements Order {

    /** Checks the components. */
    public Start {
      requireNonNull(target, "target is null");
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(payload, "payload is null");
      requireNonNull(checkpoint, "checkpoint is null");
      requireNonNull(ticket, "ticket is null");
    }
  }

  /**
   * Stops a run; a start of it that arrives later has no effect.
   *
   * @param target the minion
   * @param taskRun the task and the number of the run
   */
  record Stop(MinionTarget target, TaskRun taskRun) implements Order {

    /** Checks the components. */
    public Stop {
      requireNonNull(target, "target is null");
      requireNonNull(taskRun, "taskRun is null");
    }
  }
}
