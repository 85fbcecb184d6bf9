package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.Command;

/** Stamps commands with the leader's wall clock and proposes them. */
public final class Proposer {

  private final ReplicatedLog<CommandResult> log;
  private final LongSupplier wallClockMillis;

  /**
   * Creates a proposer.
   *
   * @param log the replicated log
   * @param wallClockMillis the wall clock, in milliseconds since the epoch
   */
  public Proposer(ReplicatedLog<CommandResult> log, LongSupplier wallClockMillis) {
    this.log = requireNonNull(log, "log is null");
    this.wallClockMillis = requireNonNull(wallClockMillis, "wallClockMillis is null");
  }

  /**
   * Proposes a command.
   *
   * @param command the command without its time
   * @return its result, or why it was not committed; see {@link ReplicatedLog#propose}
   */
  public CompletableFuture<Result<CommandResult>> propose(Command.Builder command) {
    requireNonNull(command, "command is null");
    return log.propose(command.setTimeMillis(wallClockMillis.getAsLong()).build().toByteString());
  }

  /**
   * Returns whether this replica leads and may grant now.
   *
   * @return true while the leader lease holds
   */
  public boolean holdsLease() {
    return log.status().holdsLease();
  }

  /**
   * Returns the current term, which is the fencing token of the task leases of jobs.
   *
   * @return the term
   */
  public long term() {
    return log.status().term();
  }

  /**
   * Returns the wall clock.
   *
   * @return milliseconds since the epoch
   */
  public long wallClockMillis() {
    return wallClockMillis.getAsLong();
  }
}
