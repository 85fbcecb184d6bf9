package org.hickoryspar.kernel.membership;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class VoterReconcilerTest {

  private static final int TOLERATED_FAILURES = 1;
  private static final long REPLACE_AFTER_MILLIS = 1_500;

  private final List<VoterChange> startedChanges = new ArrayList<>();
  private boolean changeEnded;
  private VoterReconciler reconciler = newReconciler();

  @BeforeMethod
  public void createReconciler() {
    startedChanges.clear();
    changeEnded = false;
    reconciler = newReconciler();
  }

  private VoterReconciler newReconciler() {
    return new VoterReconciler(
        new VoterPlanner(TOLERATED_FAILURES, REPLACE_AFTER_MILLIS),
        change -> {
          startedChanges.add(change);
          return () -> changeEnded;
        });
  }

  // -- reconcile

  /** Guards against a voter that is never replaced because each new leader waits again for it. */
  @Test
  public void shouldReplaceVoterImmediatelyWhenNewLeaderHasSeenItUnreachableBefore() {
    ClusterView view = view("a/1", "b/1", "d/1");

    reconciler.reconcile(view, false, 0);
    reconciler.reconcile(view, true, REPLACE_AFTER_MILLIS);

    assertEquals(startedChanges.size(), 1);
    assertEquals(((VoterChange.Add) startedChanges.get(0)).replicaId(), "d/1");
  }

  @Test
  public void shouldWaitForUnreachableVoterWhenItReturnedMeanwhile() {
    reconciler.reconcile(view("a/1", "b/1", "d/1"), false, 0);
    reconciler.reconcile(view("a/1", "b/1", "c/1", "d/1"), false, 1_000);
    reconciler.reconcile(view("a/1", "b/1", "d/1"), true, REPLACE_AFTER_MILLIS);

    assertEquals(startedChanges, List.of());
  }

  @Test
  public void shouldStartNoChangeWhenAnotherOneIsInProgress() {
    reconciler.reconcile(view("a/1", "b/2", "c/1", "d/1"), true, 0);
    reconciler.reconcile(view("a/1", "b/2", "c/1", "d/1"), true, 50);

    assertEquals(startedChanges.size(), 1);
  }

  @Test
  public void shouldCancelAdditionOnceWhenReplicaIsUnreachable() {
    reconciler.reconcile(view("a/1", "b/1", "d/1"), true, 0);
    reconciler.reconcile(view("a/1", "b/1", "d/1"), true, REPLACE_AFTER_MILLIS);
    reconciler.reconcile(view("a/1", "b/1"), true, REPLACE_AFTER_MILLIS + 50);
    reconciler.reconcile(view("a/1", "b/1"), true, REPLACE_AFTER_MILLIS + 100);

    assertEquals(startedChanges.size(), 2);
    assertEquals(((VoterChange.Remove) startedChanges.get(1)).replicaId(), "d/1");
  }

  private static ClusterView view(String... reachable) {
    return new ClusterView(
        "a/1",
        List.of("a/1", "b/1", "c/1"),
        List.of(),
        Stream.of(reachable).map(id -> new ReachableReplica(id, "north")).toList());
  }
}
