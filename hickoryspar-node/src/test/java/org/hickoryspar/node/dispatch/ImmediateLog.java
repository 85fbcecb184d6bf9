package org.hickoryspar.node.dispatch;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ControlStateMachine;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.protocol.ReplicationMessage;

/** A log of one replica, the leader, which applies each command as soon as it is proposed. */
final class ImmediateLog implements ReplicatedLog<CommandResult> {

  private final ControlStateMachine stateMachine;
  private long lastIndex;

  ImmediateLog(ControlStateMachine stateMachine) {
    this.stateMachine = stateMachine;
  }

  @Override
  public synchronized Status status() {
    return new Status(
        "c1/1",
        "leader",
        1,
        Optional.of("c1/1"),
        true,
        lastIndex,
        0,
        lastIndex,
        List.of("c1/1"),
        List.of(),
        Map.of());
  }

  @Override
  public synchronized CompletableFuture<Result<CommandResult>> propose(ByteString command) {
    lastIndex++;
    return CompletableFuture.completedFuture(
        Result.success(stateMachine.apply(lastIndex, command)));
  }

  @Override
  public synchronized CompletableFuture<Result<Long>> readBarrier() {
    return CompletableFuture.completedFuture(Result.success(lastIndex));
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
}
