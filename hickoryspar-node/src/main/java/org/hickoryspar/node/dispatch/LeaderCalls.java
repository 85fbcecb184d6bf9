package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.protocol.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to the leader, wherever it is, and repeats them until one is answered or their time
 * is up. Only for calls that may be repeated.
 */
public final class LeaderCalls {

  /** A leader that is lost does not say so; another one may be known after this time. */
  private static final long ATTEMPT_MILLIS = 700;

  private static final long RETRY_MILLIS = 40;

  /** Problems that say nothing about the call itself. */
  private static final Set<String> REPEATED = Set.of("not-leader", "unavailable", "unknown");

  private final ControlPeers peers;
  private final String ownInstance;
  private final @Nullable Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> local;
  private final ScheduledExecutorService timer;
  private final LongSupplier monotonicMillis;

  /**
   * Creates a sender of calls.
   *
   * @param peers connections to control daemons
   * @param ownInstance instance id of this process
   * @param local serves calls while this process leads, null for a process that never does
   * @param timer runs repetitions
   * @param monotonicMillis a clock that never goes back
   */
  public LeaderCalls(
      ControlPeers peers,
      String ownInstance,
      @Nullable Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> local,
      ScheduledExecutorService timer,
      LongSupplier monotonicMillis) {
    this.peers = requireNonNull(peers, "peers is null");
    this.ownInstance = requireNonNull(ownInstance, "ownInstance is null");
    this.local = local;
    this.timer = requireNonNull(timer, "timer is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Sends a call.
   *
   * @param call the call
   * @param limitMillis time after which the call is given up
   * @return the answer; a failure {@code "unknown"} if the call may have taken effect; or the
   *     failure that the leader answered
   */
  public CompletableFuture<Result<Envelope>> call(Envelope.Builder call, long limitMillis) {
    requireNonNull(call, "call is null");
    CompletableFuture<Result<Envelope>> answer = new CompletableFuture<>();
    attempt(call, monotonicMillis.getAsLong() + limitMillis, answer);
    return answer;
  }

  private void attempt(
      Envelope.Builder call, long untilMillis, CompletableFuture<Result<Envelope>> answer) {
    long leftMillis = untilMillis - monotonicMillis.getAsLong();
    if (leftMillis <= 0) {
      answer.complete(Result.failure("unknown", "no leader answered in time"));
      return;
    }
    send(call, Math.min(leftMillis, ATTEMPT_MILLIS))
        .thenAccept(
            result -> {
              if (result.problem().filter(p -> REPEATED.contains(p.code())).isEmpty()) {
                answer.complete(result);
              } else {
                timer.schedule(
                    () -> attempt(call, untilMillis, answer), RETRY_MILLIS, TimeUnit.MILLISECONDS);
              }
            });
  }

  private CompletableFuture<Result<Envelope>> send(Envelope.Builder call, long limitMillis) {
    String leader = peers.leader().instanceId();
    Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> server = local;
    if (server != null && leader.equals(ownInstance)) {
      return server
          .apply(call.build())
          .thenApply(result -> result.map(Envelope.Builder::build))
          .completeOnTimeout(
              Result.failure("unknown", "no answer in " + limitMillis + " ms"),
              limitMillis,
              TimeUnit.MILLISECONDS);
    }
    Optional<PeerConnection> connection = peers.connection(leader);
    if (connection.isEmpty()) {
      return CompletableFuture.completedFuture(
          Result.failure("unavailable", "no connection to a leader"));
    }
    return connection
        .get()
        .request(call.clone(), limitMillis)
        .thenApply(
            result ->
                result.flatMap(
                    envelope ->
                        envelope.hasFailure()
                            ? Result.failure(
                                envelope.getFailure().getCode(), envelope.getFailure().getMessage())
                            : Result.success(envelope)));
  }
}
