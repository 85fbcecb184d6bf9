package org.hickoryspar.kernel.workflow;

import java.util.Arrays;
import java.util.List;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunRecord;

/** One attempt to execute a task group, with the minion and the end of each member. */
public final class Run {

  private final int number;
  private final List<MinionLife> minions;
  private final long startedMillis;
  private final RunEnd.Cause[] ends;

  Run(int number, List<MinionLife> minions, long startedMillis) {
    this.number = number;
    this.startedMillis = startedMillis;
    this.minions = List.copyOf(minions);
    this.ends = new RunEnd.Cause[minions.size()];
    Arrays.fill(ends, RunEnd.Cause.CAUSE_UNSPECIFIED);
  }

  static Run restore(RunRecord record) {
    Run run = new Run(record.getRun(), record.getMinionsList(), record.getStartedMillis());
    for (int member = 0; member < run.ends.length; member++) {
      run.ends[member] = record.getEnds(member);
    }
    return run;
  }

  RunRecord toRecord() {
    return RunRecord.newBuilder()
        .setRun(number)
        .addAllMinions(minions)
        .addAllEnds(Arrays.asList(ends))
        .setStartedMillis(startedMillis)
        .build();
  }

  /**
   * Returns the number of the run within its group.
   *
   * @return 1 for the first run of the group, increasing by 1
   */
  public int number() {
    return number;
  }

  /**
   * Returns the minion of each member.
   *
   * @return an immutable list in the order of the members
   */
  public List<MinionLife> minions() {
    return minions;
  }

  /**
   * Returns when the start of the run was recorded.
   *
   * @return replicated time in milliseconds since the epoch, 0 if an earlier version recorded it
   */
  public long startedMillis() {
    return startedMillis;
  }

  /**
   * Returns whether a member has ended.
   *
   * @param member index within the group
   * @return true once its end is recorded
   */
  public boolean hasEnded(int member) {
    return ends[member] != RunEnd.Cause.CAUSE_UNSPECIFIED;
  }

  /**
   * Returns whether all members have ended.
   *
   * @return true once the end of every member is recorded
   */
  public boolean isEnded() {
    return !hasEndCause(RunEnd.Cause.CAUSE_UNSPECIFIED);
  }

  boolean hasEndCause(RunEnd.Cause cause) {
    return Arrays.asList(ends).contains(cause);
  }

  void end(int member, RunEnd.Cause cause) {
    ends[member] = cause;
  }
}
