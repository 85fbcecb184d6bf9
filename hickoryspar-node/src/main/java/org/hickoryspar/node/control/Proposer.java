package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.Command;

/** Sets the time of commands from the wall clock of the leader and proposes them. */
public final class Proposer {

  private final ReplicatedLog<CommandResult> log;
  private final LongSupplier wallClockMillis;

  /**
   * Creates a proposer.
   *
   * @param log the replicated log
   * @param wallClockMillis wall clock in milliseconds since the epoch
   */
  public Proposer(ReplicatedLog<CommandResult> log, LongSupplier wallClockMillis) {
    this.log = requireNonNull(log, "log is null");
    this.wallClockMillis = requireNonNull(wallClockMillis, "wallClockMillis is null");
  }

  /**
   * Proposes a command.
   *
   * @param command the command; its time is set here
   * @return the result of the command, or a failure as of {@link ReplicatedLog#propose}
   */
  public CompletableFuture<Result<CommandResult>> propose(Command.Builder command) {
    requireNonNull(command, "command is null");
    return log.propose(command.setTimeMillis(wallClockMillis.getAsLong()).build().toByteString());
  }

  /**
   * Returns whether this replica is the leader and holds the leader lease.
   *
   * @return true while this replica may grant leases and send orders
   */
  public boolean holdsLease() {
    return log.status().holdsLease();
  }

  /**
   * Returns the current term, which is the fencing token of the task leases of jobs.
   *
   * @return the term, which never decreases
   */
  public long term() {
    return log.status().term();
  }

  /**
   * Returns the time of the wall clock.
   *
   * @return milliseconds since the epoch
   */
  public long wallClockMillis() {
    return wallClockMillis.getAsLong();
  }
}
