package org.hickoryspar.kernel.scheduling;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Serves the teams that have waiting jobs, in the order of the queue policy. */
final class QueueRound {

  /** Bounds the time of one decision in a burst; the rest is placed by the next one. */
  private static final int MOST_BATCH_STARTS = 64;

  /** Tries to start one job of a class. */
  interface Attempt {
    boolean tryStart(JobClass jobClass);
  }

  private static final class Cursor {
    private final TeamState team;
    private final PriorityQueue<JobClass> classes = new PriorityQueue<>(JobClass::compareHeads);
    private double rank;

    Cursor(TeamState team) {
      this.team = team;
    }
  }

  private final ClusterState state;
  private final QueuePolicy policy;

  QueueRound(ClusterState state, QueuePolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /** Tries all classes of one urgency that could start; returns whether the limit was reached. */
  boolean run(boolean urgent, Attempt attempt) {
    Comparator<Cursor> order =
        Comparator.comparingDouble((Cursor cursor) -> cursor.rank)
            .thenComparing(cursor -> cursor.team.team());
    PriorityQueue<Cursor> cursors = new PriorityQueue<>(order);
    for (Map.Entry<String, List<JobClass>> entry : state.waiting().byTeam(urgent).entrySet()) {
      Cursor cursor = new Cursor(state.team(entry.getKey()));
      for (JobClass jobClass : entry.getValue()) {
        if (!jobClass.hasFailedAt(state.version())) {
          cursor.classes.add(jobClass);
        }
      }
      enter(cursor, cursors);
    }
    int started = 0;
    while (!cursors.isEmpty()) {
      Cursor cursor = cursors.remove();
      JobClass jobClass = cursor.classes.remove();
      if (attempt.tryStart(jobClass)) {
        started++;
        if (!jobClass.isEmpty()) {
          cursor.classes.add(jobClass);
        }
      } else {
        jobClass.failAt(state.version());
      }
      if (!urgent && started >= MOST_BATCH_STARTS) {
        return true;
      }
      enter(cursor, cursors);
    }
    return false;
  }

  private void enter(Cursor cursor, PriorityQueue<Cursor> cursors) {
    JobClass next = cursor.classes.peek();
    if (next != null) {
      TeamState team = cursor.team;
      cursor.rank =
          policy.rank(
              new TeamShare(
                  team.team(),
                  team.held(),
                  state.fleet().total(),
                  team.weight(),
                  next.head().submittedMillis()));
      cursors.add(cursor);
    }
  }
}
