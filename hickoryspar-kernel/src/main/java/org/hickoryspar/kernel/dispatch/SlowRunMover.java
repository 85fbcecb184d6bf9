package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.minion.MoveRule;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.Queue;

/**
 * Stops runs on slow minions that would end clearly earlier if they were started anew on others. A
 * group is moved once at most by a leader, only while nothing else waits for room in its service,
 * and never if its step goes on for good or may run more than once at a time.
 */
final class SlowRunMover {

  /** Interval at which minions are judged. */
  private static final long INTERVAL_MILLIS = 250;

  /** Groups that may be on their way to other minions at the same time. */
  private static final int MAX_MOVING_GROUPS = 4;

  /** A group that has not started anew after this time counts as waiting like others. */
  private static final long MAX_MOVE_MILLIS = 5_000;

  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;
  private final RunTimeEstimates runTimeEstimates;
  private final MinionSpeedTracker speedTracker;
  private final DispatchListener listener;
  private final Map<TaskGroup, Move> moves = new LinkedHashMap<>();
  private long nextMillis;

  SlowRunMover(
      CatalogState catalog,
      MinionTable minions,
      RunTable runs,
      RunTimeEstimates runTimeEstimates,
      MinionSpeedTracker speedTracker,
      DispatchListener listener) {
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
    this.runTimeEstimates = runTimeEstimates;
    this.speedTracker = speedTracker;
    this.listener = listener;
  }

  /** Judges the minions, and stops the runs that are worth a move, if it is time for that. */
  void advance(WaitingSteps waitingSteps, long nowMillis) {
    if (nowMillis < nextMillis) {
      return;
    }
    nextMillis = nowMillis + INTERVAL_MILLIS;
    speedTracker.assess(minions.all(), nowMillis);
    moves.values().removeIf(Move::isOver);
    List<ActiveRun> candidates = worthwhileMoves(nowMillis);
    if (!candidates.isEmpty()) {
      MinionPools pools = new MinionPools(minions.all(), catalog.dataCentresOut(), nowMillis);
      List<WaitingStep> waiting = waitingSteps.steps();
      candidates.forEach(run -> moveIfThereIsRoom(run, pools, waiting, nowMillis));
    }
  }

  /** Returns the runs that would end clearly earlier elsewhere, those with the most work first. */
  private List<ActiveRun> worthwhileMoves(long nowMillis) {
    return minions.all().stream()
        .filter(minion -> minion.speed().isSlow())
        .flatMap(minion -> minion.members().stream())
        .map(Member::run)
        .distinct()
        .filter(run -> mayMove(run) && isWorthwhile(run, nowMillis))
        .sorted(Comparator.comparingLong(run -> -remainingMillis(run, nowMillis).orElse(0)))
        .toList();
  }

  private boolean mayMove(ActiveRun run) {
    return run.isConfirmed()
        && !run.isStopRequested()
        && run.members().stream().noneMatch(Member::isEnded)
        && !run.step().getLongRunning()
        && !run.step().getSpeculative()
        && !run.step().getFills()
        && isWithinQuota(run)
        && !moves.containsKey(run.group());
  }

  // A team above its quota could not start the run anew.
  private boolean isWithinQuota(ActiveRun run) {
    return runs.teamQuotas().shortfall(run.team(), Resources.NONE).equals(Resources.NONE);
  }

  private boolean isWorthwhile(ActiveRun run, long nowMillis) {
    OptionalLong remainingMillis = remainingMillis(run, nowMillis);
    return remainingMillis.isPresent()
        && MoveRule.isWorthwhile(remainingMillis.getAsLong(), wholeRunMillis(run));
  }

  // A gang ends together, so the slowest member decides.
  private static OptionalLong remainingMillis(ActiveRun run, long nowMillis) {
    return run.members().stream()
        .map(member -> member.progress().remainingMillis(nowMillis))
        .flatMapToLong(OptionalLong::stream)
        .max();
  }

  private long wholeRunMillis(ActiveRun run) {
    long totalMillis = 0;
    double slowdown = 1;
    for (Member member : run.members()) {
      totalMillis = Math.max(totalMillis, member.progress().totalMillis());
      slowdown = Math.max(slowdown, member.minion().speed().slowdown());
    }
    return MoveRule.wholeRunMillis(
        speedTracker.baselineOf(serviceOf(run)),
        runTimeEstimates.initialExpectation(run).medianMillis(),
        totalMillis,
        slowdown);
  }

  private static String serviceOf(ActiveRun run) {
    return run.members().get(0).minion().service();
  }

  private void moveIfThereIsRoom(
      ActiveRun run, MinionPools pools, List<WaitingStep> waitingSteps, long nowMillis) {
    List<Move> moving = moves.values().stream().filter(move -> isMoving(move, nowMillis)).toList();
    Queue queue = catalog.view().currentQueue(run.workflow().queue());
    WaitingStep target =
        new WaitingStep(
            run.workflow(), queue, run.occurrence(), run.stepIndex(), 0, List.of(run.group()));
    if (moving.size() < MAX_MOVING_GROUPS
        && !areOthersWaiting(waitingSteps, queue.getService(), moving)
        && hasRoom(target, run.group().size() + countTasks(moving), pools.poolFor(target))) {
      move(run, nowMillis);
    }
  }

  private boolean isMoving(Move move, long nowMillis) {
    boolean startedAnew = move.run.group().lastRun() > move.run.number();
    return !startedAnew && nowMillis - move.sinceMillis < MAX_MOVE_MILLIS;
  }

  private static int countTasks(List<Move> moving) {
    return moving.stream().mapToInt(move -> move.run.group().size()).sum();
  }

  // What waits may be waiting for the very room that a move would take, unless it waits for its
  // quota.
  private boolean areOthersWaiting(
      List<WaitingStep> waitingSteps, String service, List<Move> moving) {
    List<TaskGroup> movingGroups = moving.stream().map(move -> move.run.group()).toList();
    return waitingSteps.stream()
        .filter(step -> step.queue().getService().equals(service))
        .anyMatch(
            step ->
                step.groups().stream()
                    .anyMatch(
                        group ->
                            !runs.hasRun(group)
                                && !movingGroups.contains(group)
                                && isWithinQuota(step, group)));
  }

  private boolean isWithinQuota(WaitingStep step, TaskGroup group) {
    return runs.teamQuotas().check(step.team(), step.declaredDemand(), group.size()).isEmpty();
  }

  private boolean hasRoom(WaitingStep target, int tasks, MinionPools.Pool pool) {
    MinionTaskLimit taskLimit = new MinionTaskLimit(target, runs);
    boolean oneRack = target.groups().get(0).size() > 1 && target.step().getSameRack();
    Collection<List<Minion>> sets =
        oneRack ? PlacementFinder.byRack(pool.sound()).values() : List.of(pool.sound());
    return sets.stream()
        .anyMatch(
            set ->
                PlacementFinder.countFittingTasks(
                        target.demand(), set, Minion::free, taskLimit, tasks)
                    >= tasks);
  }

  private void move(ActiveRun run, long nowMillis) {
    moves.put(run.group(), new Move(run, nowMillis));
    run.requestStop();
    listener.onEvent(
        DispatchEventKind.RUN_MOVED,
        run.taskRun(0).toString(),
        "slowMinions",
        run.members().stream()
            .map(Member::minion)
            .filter(minion -> minion.speed().isSlow())
            .map(Minion::id)
            .distinct()
            .toList(),
        "members",
        run.members().size(),
        "workedMillis",
        run.runningMillis(nowMillis),
        "remainingMillis",
        remainingMillis(run, nowMillis).orElse(0),
        "elsewhereMillis",
        wholeRunMillis(run));
  }

  /** The move of a group; it is remembered until the group or its workflow ends. */
  private record Move(ActiveRun run, long sinceMillis) {

    boolean isOver() {
      return run.workflow().isEnded() || run.group().isDone();
    }
  }
}
