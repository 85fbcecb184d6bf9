package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.ReplicationMessage;

/**
 * A log of a single replica in memory, for tests of what stands on a log.
 *
 * @param <R> the type of a command's result
 */
public final class LocalLog<R> implements ReplicatedLog<R> {

  private static final String REPLICA_ID = "local/1";

  private final StateMachine<R> stateMachine;
  private long index;

  /**
   * Creates an empty log.
   *
   * @param stateMachine commands are applied to it at once
   */
  public LocalLog(StateMachine<R> stateMachine) {
    this.stateMachine = requireNonNull(stateMachine, "stateMachine is null");
  }

  @Override
  public synchronized CompletableFuture<Result<R>> propose(ByteString command) {
    index++;
    return CompletableFuture.completedFuture(Result.success(stateMachine.apply(index, command)));
  }

  @Override
  public synchronized CompletableFuture<Result<Long>> readBarrier() {
    return CompletableFuture.completedFuture(Result.success(index));
  }

  @Override
  public void receive(ReplicationMessage message) {
    // There is no other replica.
  }

  @Override
  public synchronized Status status() {
    return new Status(
        REPLICA_ID,
        "leader",
        1,
        Optional.of(REPLICA_ID),
        true,
        index,
        index,
        List.of(REPLICA_ID),
        List.of(),
        Map.of(REPLICA_ID, index));
  }

  @Override
  public CompletableFuture<Result<String>> transferLeadership() {
    return refused();
  }

  @Override
  public CompletableFuture<Result<String>> addVoter(String replicaId, Optional<String> replaces) {
    return refused();
  }

  @Override
  public CompletableFuture<Result<String>> removeReplica(String replicaId) {
    return refused();
  }

  private static CompletableFuture<Result<String>> refused() {
    return CompletableFuture.completedFuture(
        Result.failure("unavailable", "a local log has one replica"));
  }

  @Override
  public void close() {
    // Nothing is held.
  }
}
