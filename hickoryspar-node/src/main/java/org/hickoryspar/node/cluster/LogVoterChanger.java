package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.membership.VoterChange;
import org.hickoryspar.kernel.membership.VoterChanger;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.observability.EventLogger;

/** Makes changes of the voters in the replicated log, and logs their start and their end. */
final class LogVoterChanger implements VoterChanger {

  private final ReplicatedLog<?> log;

  LogVoterChanger(ReplicatedLog<?> log) {
    this.log = requireNonNull(log, "log is null");
  }

  @Override
  public PendingChange start(VoterChange change) {
    EventLogger.log(ClusterEvent.VOTER_CHANGE, change);
    CompletableFuture<Result<String>> result =
        change instanceof VoterChange.Add add
            ? log.addVoter(add.replicaId(), Optional.empty())
            : log.removeReplica(((VoterChange.Remove) change).replicaId());
    return result.thenAccept(LogVoterChanger::logResult)::isDone;
  }

  private static void logResult(Result<String> result) {
    String detail = result.fold(Problem::message, voters -> voters);
    EventLogger.log(
        result.isSuccess() ? ClusterEvent.VOTER_CHANGE_DONE : ClusterEvent.VOTER_CHANGE_FAILED,
        detail);
  }
}
