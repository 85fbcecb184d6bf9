package org.hickoryspar.node.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.ReplicationMessage;

/** A log of a leader whose term and lease the test sets; it accepts no proposals. */
public final class LeaderLog implements ReplicatedLog<CommandResult> {

  public volatile Status status = statusOf(0, false);

  @Override
  public Status status() {
    return status;
  }

  @Override
  public CompletableFuture<Result<CommandResult>> propose(ByteString command) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<Long>> readBarrier() {
    throw new UnsupportedOperationException();
  }

  @Override
  public void receive(ReplicationMessage message) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<String>> transferLeadership() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<String>> addVoter(String replicaId, Optional<String> replaces) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Result<String>> removeReplica(String replicaId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void close() {}

  /** Returns the status of the leader of a term. */
  public static Status statusOf(long term, boolean holdsLease) {
    return new Status(
        "c1/1",
        "leader",
        term,
        Optional.of("c1/1"),
        holdsLease,
        0,
        0,
        0,
        List.of("c1/1"),
        List.of(),
        Map.of());
  }
}
