package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.value.Problem;
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
  private final CallListener listener;
  private final LongSupplier monotonicMillis;
  private final Set<PendingCall> open = ConcurrentHashMap.newKeySet();

  /**
   * Creates a sender of calls.
   *
   * @param peers connections to control daemons
   * @param ownInstance instance id of this process
   * @param local serves calls while this process leads, null for a process that never does
   * @param timer runs repetitions
   * @param listener told how each call ended
   * @param monotonicMillis a clock that never goes back
   */
  public LeaderCalls(
      ControlPeers peers,
      String ownInstance,
      @Nullable Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> local,
      ScheduledExecutorService timer,
      CallListener listener,
      LongSupplier monotonicMillis) {
    this.peers = requireNonNull(peers, "peers is null");
    this.ownInstance = requireNonNull(ownInstance, "ownInstance is null");
    this.local = local;
    this.timer = requireNonNull(timer, "timer is null");
    this.listener = requireNonNull(listener, "listener is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    peers.addLeaderListener(leader -> open.forEach(call -> call.leaderChanged(leader)));
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
    PendingCall pending = new PendingCall(call, limitMillis);
    open.add(pending);
    pending.attempt();
    return pending.answer;
  }

  /** One call and its attempts so far; an attempt begins after the one before it has ended. */
  private final class PendingCall {

    private final Envelope.Builder call;
    private final long startMillis = monotonicMillis.getAsLong();
    private final long untilMillis;
    private final CompletableFuture<Result<Envelope>> answer = new CompletableFuture<>();
    private final AtomicInteger attempts = new AtomicInteger();
    private volatile String lastProblem = "";
    private volatile ControlPeers.Leader leader = peers.leader();
    private volatile CompletableFuture<Result<Envelope>> attempt = new CompletableFuture<>();

    PendingCall(Envelope.Builder call, long limitMillis) {
      this.call = call;
      this.untilMillis = startMillis + limitMillis;
    }

    void attempt() {
      long leftMillis = untilMillis - monotonicMillis.getAsLong();
      if (leftMillis <= 0) {
        end(Result.failure("unknown", "no leader answered in time"));
        return;
      }
      leader = peers.leader();
      attempts.incrementAndGet();
      CompletableFuture<Result<Envelope>> current = new CompletableFuture<>();
      attempt = current;
      current.thenAccept(this::take);
      send(call, leader.instanceId(), Math.min(leftMillis, ATTEMPT_MILLIS))
          .thenAccept(current::complete);
    }

    /** Gives up on the answer of an earlier leader, which may be lost. */
    void leaderChanged(ControlPeers.Leader newLeader) {
      if (!newLeader.instanceId().isEmpty()
          && !newLeader.instanceId().equals(leader.instanceId())) {
        attempt.complete(Result.failure("unknown", "another leader is known"));
      }
    }

    private void take(Result<Envelope> result) {
      Optional<Problem> repeated = result.problem().filter(p -> REPEATED.contains(p.code()));
      if (repeated.isPresent()) {
        lastProblem = repeated.get().message();
        timer.schedule(this::attempt, RETRY_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        end(result);
      }
    }

    private void end(Result<Envelope> result) {
      open.remove(this);
      listener.ended(
          call.build(),
          result,
          new CallListener.Course(
              attempts.get(),
              lastProblem,
              leader.instanceId(),
              leader.term(),
              monotonicMillis.getAsLong() - startMillis));
      answer.complete(result);
    }
  }

  private CompletableFuture<Result<Envelope>> send(
      Envelope.Builder call, String leader, long limitMillis) {
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
