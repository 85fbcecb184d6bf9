package org.hickoryspar.kernel.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Tries to start the waiting jobs of all teams, in the order of the queue policy. */
final class QueueRound {

  /** Bounds the duration of one decision in a burst; remaining jobs follow in the next one. */
  private static final int MAX_BATCH_STARTS = 64;

  /** Tries to start one job of a class. */
  interface Attempt {
    boolean tryStart(EquivalenceClass equivalenceClass);
  }

  private static final class TeamCursor {
    private final TeamState team;
    private final PriorityQueue<EquivalenceClass> classes =
        new PriorityQueue<>(EquivalenceClass::compareHeads);
    private double rank;

    TeamCursor(TeamState team) {
      this.team = team;
    }
  }

  private final ClusterState state;
  private final QueuePolicy policy;

  QueueRound(ClusterState state, QueuePolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /**
   * Tries to start urgent or batch jobs, except those of classes that failed at the current version
   * of the cluster state.
   *
   * @return whether the round ended at the limit of batch starts
   */
  boolean run(boolean urgent, Attempt attempt) {
    Comparator<TeamCursor> order =
        Comparator.comparingDouble((TeamCursor cursor) -> cursor.rank)
            .thenComparing(cursor -> cursor.team.team());
    PriorityQueue<TeamCursor> cursors = new PriorityQueue<>(order);
    for (Map.Entry<String, List<EquivalenceClass>> entry :
        state.waiting().byTeam(urgent).entrySet()) {
      TeamCursor cursor = new TeamCursor(state.team(entry.getKey()));
      for (EquivalenceClass equivalenceClass : entry.getValue()) {
        if (!equivalenceClass.hasFailedAt(state.version())) {
          cursor.classes.add(equivalenceClass);
        }
      }
      enqueue(cursor, cursors);
    }
    int started = 0;
    while (!cursors.isEmpty()) {
      TeamCursor cursor = cursors.remove();
      EquivalenceClass equivalenceClass = cursor.classes.remove();
      if (attempt.tryStart(equivalenceClass)) {
        started++;
        if (!equivalenceClass.isEmpty()) {
          cursor.classes.add(equivalenceClass);
        }
      } else {
        equivalenceClass.markFailedAt(state.version());
      }
      if (!urgent && started >= MAX_BATCH_STARTS) {
        return true;
      }
      enqueue(cursor, cursors);
    }
    return false;
  }

  private void enqueue(TeamCursor cursor, PriorityQueue<TeamCursor> cursors) {
    EquivalenceClass next = cursor.classes.peek();
    if (next != null) {
      TeamState team = cursor.team;
      cursor.rank =
          policy.rank(
              new TeamShare(
                  team.team(),
                  team.held(),
                  state.fleet().totalCapacity(),
                  team.weight(),
                  next.head().submittedMillis()));
      cursors.add(cursor);
    }
  }
}
