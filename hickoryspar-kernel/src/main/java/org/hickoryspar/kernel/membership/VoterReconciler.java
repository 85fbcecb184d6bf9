package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hickoryspar.kernel.membership.VoterChanger.PendingChange;
import org.jspecify.annotations.Nullable;

/**
 * Changes the voters as planned while its replica leads, one change at a time. Not thread-safe.
 *
 * <pre>{@code
 * reconciler.reconcile(view, holdsLease, nowMillis);
 * }</pre>
 */
public final class VoterReconciler {

  private final VoterPlanner planner;
  private final VoterChanger changer;
  private @Nullable VoterChange currentChange;
  private PendingChange pendingChange = () -> true;

  /**
   * Creates a reconciler.
   *
   * @param planner plans the changes
   * @param changer makes them
   */
  public VoterReconciler(VoterPlanner planner, VoterChanger changer) {
    this.planner = requireNonNull(planner, "planner is null");
    this.changer = requireNonNull(changer, "changer is null");
  }

  /**
   * Starts the next change if this replica leads and no change is in progress.
   *
   * @param view what this replica knows of the cluster
   * @param leads whether this replica leads and holds its lease
   * @param nowMillis current monotonic time
   */
  public void reconcile(ClusterView view, boolean leads, long nowMillis) {
    requireNonNull(view, "view is null");
    if (!leads) {
      planner.observe(view, nowMillis);
      return;
    }
    if (!pendingChange.isEnded()) {
      cancelAddIfUnreachable(view);
      return;
    }
    Optional<VoterChange> nextChange = planner.nextChange(view, nowMillis);
    nextChange.ifPresent(this::start);
  }

  private void start(VoterChange change) {
    currentChange = change;
    pendingChange = changer.start(change);
  }

  // The addition of an unreachable replica would block the next change until it times out.
  private void cancelAddIfUnreachable(ClusterView view) {
    if (currentChange instanceof VoterChange.Add add && !view.isReachable(add.replicaId())) {
      currentChange = null;
      changer.start(new VoterChange.Remove(add.replicaId(), "unreachable before it was added"));
    }
  }
}
