package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.membership.ReachableReplica;
import org.hickoryspar.kernel.membership.VoterChange;
import org.hickoryspar.kernel.membership.VoterPlanner;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.observability.EventLogger;
import org.jspecify.annotations.Nullable;

/**
 * Changes the voters as planned while this replica leads, one change at a time. Not thread-safe.
 */
final class VoterReconciler {

  private final ReplicatedLog<?> log;
  private final ControlPeers peers;
  private final VoterPlanner planner;
  private final String dataCentre;
  private @Nullable VoterChange currentChange;
  private CompletableFuture<Result<String>> changeResult =
      CompletableFuture.completedFuture(Result.success(""));

  VoterReconciler(
      ReplicatedLog<?> log, ControlPeers peers, VoterPlanner planner, String dataCentre) {
    this.log = requireNonNull(log, "log is null");
    this.peers = requireNonNull(peers, "peers is null");
    this.planner = requireNonNull(planner, "planner is null");
    this.dataCentre = requireNonNull(dataCentre, "dataCentre is null");
  }

  /** Starts the next change if this replica leads and no change is in progress. */
  void reconcile(long nowMillis) {
    ReplicatedLog.Status status = log.status();
    if (!status.holdsLease()) {
      return;
    }
    List<ReachableReplica> reachable = new ArrayList<>(peers.reachableReplicas());
    reachable.add(new ReachableReplica(status.replicaId(), dataCentre));
    if (!changeResult.isDone()) {
      cancelAddIfUnreachable(reachable);
      return;
    }
    Optional<VoterChange> nextChange =
        planner.nextChange(
            status.replicaId(), status.voters(), status.learners(), reachable, nowMillis);
    nextChange.ifPresent(this::startChange);
  }

  private void startChange(VoterChange change) {
    EventLogger.log(ClusterEvent.VOTER_CHANGE, change);
    currentChange = change;
    changeResult =
        change instanceof VoterChange.Add add
            ? log.addVoter(add.replicaId(), Optional.empty())
            : log.removeReplica(((VoterChange.Remove) change).replicaId());
    changeResult.thenAccept(VoterReconciler::logResult);
  }

  private static void logResult(Result<String> result) {
    String detail = result.fold(Problem::message, voters -> voters);
    EventLogger.log(
        result.isSuccess() ? ClusterEvent.VOTER_CHANGE_DONE : ClusterEvent.VOTER_CHANGE_FAILED,
        detail);
  }

  // The addition of an unreachable replica would block the next change until it times out.
  private void cancelAddIfUnreachable(List<ReachableReplica> reachable) {
    if (currentChange instanceof VoterChange.Add add
        && reachable.stream().noneMatch(r -> r.replicaId().equals(add.replicaId()))) {
      currentChange = null;
      log.removeReplica(add.replicaId());
    }
  }
}
