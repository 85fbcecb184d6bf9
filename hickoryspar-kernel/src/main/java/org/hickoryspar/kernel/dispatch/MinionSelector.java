package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Selects the minions for a group among those that accept work and are in service. A step requires
 * a service, a label, room and a limit of tasks per minion; everything else is a {@link
 * Preference}. Valid for one planning round.
 */
final class MinionSelector {

  private final MinionFailureTracker failureTracker;
  private final BackfillReservations reservations;
  private final long nowMillis;

  MinionSelector(
      MinionFailureTracker failureTracker, BackfillReservations reservations, long nowMillis) {
    this.failureTracker = failureTracker;
    this.reservations = reservations;
    this.nowMillis = nowMillis;
  }

  /**
   * Returns the minion of each task of a group according to the preferences, or null if there are
   * none. Slow minions are taken only if no others fit, and minions on which other groups have
   * failed recently only after them; a group does not wait for others to become free.
   *
   * @param endMillis monotonic time at which the group is expected to end
   */
  @Nullable List<Minion> selectPreferred(
      WaitingStep waitingStep,
      TaskGroup group,
      MinionPools.Pool pool,
      MinionTaskLimit taskLimit,
      long endMillis) {
    Function<Minion, Resources> available = m -> reservations.availableUntil(m, endMillis);
    List<Minion> selected = null;
    if (!pool.awaitingProbe().isEmpty() && mayProbe(waitingStep, group)) {
      List<Minion> idle = pool.awaitingProbe().stream().filter(Minion::isIdle).toList();
      selected = find(waitingStep, group, idle, available, taskLimit);
    }
    if (selected == null && isLastAttempt(waitingStep, group)) {
      List<Minion> proven = withoutFailureOf(group, withRecentSuccess(pool));
      selected = find(waitingStep, group, proven, available, taskLimit);
    }
    if (selected == null && pool.hasSlowMinions()) {
      selected = selectSound(waitingStep, group, pool, available, taskLimit);
    }
    if (selected == null) {
      List<Minion> healthy = withoutFailureOf(group, pool.healthy());
      selected = find(waitingStep, group, healthy, available, taskLimit);
    }
    if (selected == null && !pool.recentlyFailed().isEmpty()) {
      List<Minion> fallback = withoutFailureOf(group, healthyOrRecentlyFailed(pool));
      selected = find(waitingStep, group, fallback, available, taskLimit);
    }
    return selected;
  }

  private @Nullable List<Minion> selectSound(
      WaitingStep waitingStep,
      TaskGroup group,
      MinionPools.Pool pool,
      Function<Minion, Resources> available,
      MinionTaskLimit taskLimit) {
    List<Minion> sound = withoutFailureOf(group, pool.sound());
    // Without its slow minions a rack may be too small for a gang, which is no reason to cross
    // racks.
    boolean wouldCrossRacks =
        group.size() > 1
            && PlacementFinder.mayCrossRacks(waitingStep, group.size(), sound, taskLimit)
            && !PlacementFinder.mayCrossRacks(
                waitingStep, group.size(), withoutFailureOf(group, pool.healthy()), taskLimit);
    return wouldCrossRacks ? null : find(waitingStep, group, sound, available, taskLimit);
  }

  /** Returns the preferred minions among those on which no task of the group has failed. */
  List<Minion> preferredMinions(TaskGroup group, MinionPools.Pool pool) {
    return withoutFailureOf(group, pool.healthy());
  }

  /**
   * Returns the minion of each task of a group by its requirements alone, or null if the group does
   * not fit on idle capacity. Preferences are given up in the order of {@link Preference}.
   */
  @Nullable Selection selectByRequirements(
      WaitingStep waitingStep, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit taskLimit) {
    List<Minion> all = withAwaitingProbe(pool);
    List<Minion> withIsolated = withIsolated(pool);
    if (!fits(waitingStep, group, withIsolated, taskLimit)) {
      return null;
    }
    List<Minion> healthy = withoutFailureOf(group, pool.healthy());
    Selection selection =
        selectWithinOrAcrossRacks(
            waitingStep, group, healthy, taskLimit, Preference.NO_RESERVATION);
    if (selection == null) {
      List<Minion> fallback = withoutFailureOf(group, healthyOrRecentlyFailed(pool));
      selection =
          selectWithinOrAcrossRacks(
              waitingStep, group, fallback, taskLimit, Preference.NO_RESERVATION);
    }
    if (selection == null) {
      selection =
          selectWithinOrAcrossRacks(waitingStep, group, all, taskLimit, Preference.NO_FAILURE);
    }
    return selection == null
        ? selectWithinOrAcrossRacks(
            waitingStep, group, withIsolated, taskLimit, Preference.NOT_ISOLATED)
        : selection;
  }

  /**
   * Returns the minion of each task of a group that has failed on all minions that may run it, or
   * null if there are none. Keeps to reservations and racks.
   *
   * @param endMillis monotonic time at which the group is expected to end
   */
  @Nullable Selection selectAfterFailureOnAll(
      WaitingStep waitingStep,
      TaskGroup group,
      MinionPools.Pool pool,
      MinionTaskLimit taskLimit,
      long endMillis) {
    if (group.failures() == 0 || !withoutFailureOf(group, withIsolated(pool)).isEmpty()) {
      return null;
    }
    List<Minion> selected =
        find(
            waitingStep,
            group,
            withAwaitingProbe(pool),
            minion -> reservations.availableUntil(minion, endMillis),
            taskLimit);
    return selected == null ? null : new Selection(selected, Preference.NO_FAILURE);
  }

  /** Returns whether a group would fit on idle capacity if it were new. */
  static boolean fitsWithoutPreferences(
      WaitingStep waitingStep, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit taskLimit) {
    return fits(waitingStep, group, withIsolated(pool), taskLimit);
  }

  private static boolean fits(
      WaitingStep waitingStep, TaskGroup group, List<Minion> minions, MinionTaskLimit taskLimit) {
    return PlacementFinder.countFittingTasks(
            waitingStep.demand(), minions, Minion::free, taskLimit, group.size())
        >= group.size();
  }

  private static @Nullable Selection selectWithinOrAcrossRacks(
      WaitingStep waitingStep,
      TaskGroup group,
      List<Minion> minions,
      MinionTaskLimit taskLimit,
      Preference givenUp) {
    List<Minion> selected = find(waitingStep, group, minions, Minion::free, taskLimit);
    if (selected != null) {
      return new Selection(selected, givenUp);
    }
    if (group.size() == 1 || !fits(waitingStep, group, minions, taskLimit)) {
      return null;
    }
    List<Minion> acrossRacks =
        PlacementFinder.assignTasks(
            waitingStep.demand(), group.size(), minions, Minion::free, taskLimit);
    return new Selection(acrossRacks, Preference.ONE_RACK);
  }

  private static @Nullable List<Minion> find(
      WaitingStep waitingStep,
      TaskGroup group,
      List<Minion> minions,
      Function<Minion, Resources> available,
      MinionTaskLimit taskLimit) {
    if (group.size() > 1) {
      return PlacementFinder.bestFitGang(waitingStep, group.size(), minions, available, taskLimit);
    }
    Minion minion = PlacementFinder.bestFit(waitingStep, minions, available, taskLimit);
    return minion == null ? null : List.of(minion);
  }

  /** Returns whether a group may probe a minion: a single task that is retried if it fails. */
  static boolean mayProbe(WaitingStep waitingStep, TaskGroup group) {
    return group.size() == 1
        && group.failures() == 0
        && waitingStep.workflow().maxAttempts() > 1
        && !PreemptionPlanner.mayPreempt(waitingStep.queue());
  }

  private static boolean isLastAttempt(WaitingStep waitingStep, TaskGroup group) {
    return group.failures() > 0 && group.failures() + 1 >= waitingStep.workflow().maxAttempts();
  }

  private List<Minion> withRecentSuccess(MinionPools.Pool pool) {
    return pool.healthy().stream()
        .filter(minion -> minion.health().hasRecentSuccess(nowMillis))
        .toList();
  }

  private static List<Minion> healthyOrRecentlyFailed(MinionPools.Pool pool) {
    List<Minion> minions = new ArrayList<>(pool.healthy());
    minions.addAll(pool.recentlyFailed());
    return minions;
  }

  private static List<Minion> withAwaitingProbe(MinionPools.Pool pool) {
    List<Minion> minions = healthyOrRecentlyFailed(pool);
    minions.addAll(pool.awaitingProbe());
    return minions;
  }

  private static List<Minion> withIsolated(MinionPools.Pool pool) {
    List<Minion> minions = withAwaitingProbe(pool);
    minions.addAll(pool.isolated());
    return minions;
  }

  private List<Minion> withoutFailureOf(TaskGroup group, List<Minion> minions) {
    if (group.failures() == 0) {
      return minions;
    }
    Set<String> failedMinionIds = failureTracker.failedMinionIds(group);
    return minions.stream().filter(minion -> !failedMinionIds.contains(minion.id())).toList();
  }

  /** What the planner prefers and does not require. */
  enum Preference {
    /** Capacity that is not reserved for a group of higher rank. */
    NO_RESERVATION("reserved for another group"),
    /** One rack for all tasks of a gang. */
    ONE_RACK("no single rack has room"),
    /** A minion on which neither this group nor others have failed recently. */
    NO_FAILURE("tasks have failed there"),
    /** A minion that is not isolated after failures. */
    NOT_ISOLATED("the minions are isolated");

    private final String obstacle;

    Preference(String obstacle) {
      this.obstacle = obstacle;
    }

    /** Returns why capacity is not used because of the preference, in words for the log. */
    String obstacle() {
      return obstacle;
    }
  }

  /**
   * Minions that meet the requirements of a group.
   *
   * @param minions the minion of each task
   * @param givenUp the last preference that was given up to find them
   */
  record Selection(List<Minion> minions, Preference givenUp) {}
}
