package org.hickoryspar.kernel.dispatch.order;

import static java.util.Objects.requireNonNull;

/**
 * A request that the owner of a dispatcher must send to a minion. An order without a response may
 * have taken effect already, or may take effect later.
 */
public sealed interface Order {

  /**
   * Returns the destination of the order.
   *
   * @return the life of a minion and its address
   */
  MinionTarget target();

  /**
   * Renews the lease of a minion, acknowledges ends and requests the running and ended tasks.
   *
   * @param target the minion
   * @param deadlineMillis expiry of the lease on the minion's clock; 0 to grant no lease
   * @param recordedEndNumber number of the last end that the log has recorded, 0 for none
   * @param waitMillis how long the minion may hold back the response until a task ends
   */
  record Renew(MinionTarget target, long deadlineMillis, long recordedEndNumber, long waitMillis)
      implements Order {

    /** Rejects a null target with a {@link NullPointerException}. */
    public Renew {
      requireNonNull(target, "target is null");
    }
  }

  /**
   * Starts a task.
   *
   * @param target the minion
   * @param taskRun the task and the number of the run
   * @param payload specification of the task as submitted by the caller
   * @param checkpoint checkpoint to resume from, empty to start from the beginning
   * @param ticket ticket that permits the start, empty if none is needed
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

    /** Rejects null components with a {@link NullPointerException}. */
    public Start {
      requireNonNull(target, "target is null");
      requireNonNull(taskRun, "taskRun is null");
      requireNonNull(payload, "payload is null");
      requireNonNull(checkpoint, "checkpoint is null");
      requireNonNull(ticket, "ticket is null");
    }
  }

  /**
   * Stops a run. A start of the same run that arrives later has no effect.
   *
   * @param target the minion
   * @param taskRun the task and the number of the run
   */
  record Stop(MinionTarget target, TaskRun taskRun) implements Order {

    /** Rejects null components with a {@link NullPointerException}. */
    public Stop {
      requireNonNull(target, "target is null");
      requireNonNull(taskRun, "taskRun is null");
    }
  }
}
