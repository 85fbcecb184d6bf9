package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.hickoryspar.kernel.value.Resources;

/**
 * Compares the work of a service with its room. For each time by which some of the waiting work
 * must end, the work that must be done until then is divided by the work that the whole capacity
 * can do until then; the largest quotient of all times and resources is the pressure. Above 100
 * percent no order of starts brings all work to its end in time. Running work counts, unless it
 * must make room for the waiting work. The pressure assumes that work can be divided at will, so a
 * backlog may not fit at less than 100 percent either.
 */
public final class BacklogPressure {

  /** Work that is due earlier, or was due already, counts as due at this distance. */
  private static final long MIN_HORIZON_MILLIS = 1_000;

  private static final int PERCENT = 100;

  private BacklogPressure() {}

  /**
   * Returns the pressure of a backlog in percent.
   *
   * @param capacity resources of all minions that accept work of the service
   * @param running what occupies resources of the service
   * @param waiting what waits for resources of the service
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return the pressure, 0 if nothing waits
   */
  public static int percent(
      Resources capacity,
      Collection<RunningWork> running,
      Collection<BacklogItem> waiting,
      long wallMillis) {
    requireNonNull(running, "running is null");
    Amount room = Amount.of(requireNonNull(capacity, "capacity is null"));
    List<DueWork> dueFirst = new ArrayList<>();
    requireNonNull(waiting, "waiting is null")
        .forEach(item -> dueFirst.add(DueWork.of(item, wallMillis)));
    dueFirst.sort(Comparator.comparingLong(DueWork::horizonMillis));
    double highest =
        Math.max(
            highestOfPreempting(room, running, dueFirst), highestOfOthers(room, running, dueFirst));
    return (int) Math.min(Integer.MAX_VALUE, highest * PERCENT);
  }

  // Work that may preempt needs room beside running work that is not preemptible.
  private static double highestOfPreempting(
      Amount room, Collection<RunningWork> running, List<DueWork> dueFirst) {
    List<DueWork> preempting = dueFirst.stream().filter(DueWork::mayPreempt).toList();
    List<RunningWork> lasting = running.stream().filter(work -> !work.isPreemptible()).toList();
    return highest(room, lasting, preempting, work -> true);
  }

  // Other work needs room beside all running work and beside what may preempt.
  private static double highestOfOthers(
      Amount room, Collection<RunningWork> running, List<DueWork> dueFirst) {
    return highest(room, running, dueFirst, work -> !work.mayPreempt);
  }

  private static double highest(
      Amount room,
      Collection<RunningWork> running,
      List<DueWork> dueFirst,
      Predicate<DueWork> isExamined) {
    RunningSweep sweep = new RunningSweep(running);
    Amount due = Amount.NONE;
    double highest = 0;
    for (DueWork work : dueFirst) {
      due = due.plus(work.amount);
      if (isExamined.test(work)) {
        Amount needed = due.plus(sweep.workUntil(work.horizonMillis));
        highest = Math.max(highest, needed.highestShareOf(room.times(work.horizonMillis)));
      }
    }
    return highest;
  }

  /** The part of waiting work that can be done until it is due. */
  private record DueWork(long horizonMillis, Amount amount, boolean mayPreempt) {

    static DueWork of(BacklogItem item, long wallMillis) {
      long horizonMillis = Math.max(MIN_HORIZON_MILLIS, item.dueMillis() - wallMillis);
      long workMillis = Math.min(item.runMillis(), horizonMillis);
      Amount amount = Amount.of(item.demand()).times(workMillis);
      return new DueWork(horizonMillis, amount, item.mayPreempt());
    }
  }

  /** Adds up what running work does until given times, which must not decrease. */
  private static final class RunningSweep {

    private final List<RunningWork> endingFirst;
    private Amount endedWork = Amount.NONE;
    private Amount lastingDemand = Amount.NONE;
    private int endedCount;

    RunningSweep(Collection<RunningWork> running) {
      endingFirst = new ArrayList<>(running);
      endingFirst.sort(Comparator.comparingLong(RunningWork::remainingMillis));
      for (RunningWork work : endingFirst) {
        lastingDemand = lastingDemand.plus(Amount.of(work.demand()));
      }
    }

    Amount workUntil(long horizonMillis) {
      while (endedCount < endingFirst.size()
          && endingFirst.get(endedCount).remainingMillis() <= horizonMillis) {
        RunningWork ended = endingFirst.get(endedCount++);
        Amount demand = Amount.of(ended.demand());
        endedWork = endedWork.plus(demand.times(Math.max(0, ended.remainingMillis())));
        lastingDemand = lastingDemand.minus(demand);
      }
      return endedWork.plus(lastingDemand.times(horizonMillis));
    }
  }
}
