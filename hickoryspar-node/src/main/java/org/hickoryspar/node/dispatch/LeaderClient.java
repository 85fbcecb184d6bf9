package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.protocol.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to the current leader and retries them until the leader responds or the timeout
 * expires. Calls must be idempotent. All attempts of a call have the same identifier, so that the
 * leader can answer a later attempt with what an earlier one has stored. A refusal that may
 * contradict an earlier attempt is not returned. Thread-safe.
 */
public final class LeaderClient {

  /** Timeout of an attempt; if the leader has failed, a successor may be known by then. */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 700;

  private static final long RETRY_DELAY_MILLIS = 40;

  /**
   * Pause while no leader can be reached. Listeners end it; it only bounds the time for which a
   * connection that became ready just before goes unnoticed, and the delay of a failure at the
   * deadline.
   */
  private static final long POLL_DELAY_MILLIS = 120;

  /** Code of a problem after which the call may have taken effect, or may still do so. */
  private static final String UNKNOWN = "unknown";

  /** Codes of problems that are not caused by the call itself. */
  private static final Set<String> RETRYABLE_CODES = Set.of("not-leader", "unavailable", UNKNOWN);

  private static final int NO_ATTEMPT = -1;

  private final ControlPeers peers;
  private final String ownInstance;
  private final @Nullable Function<Envelope, CompletableFuture<Result<Envelope.Builder>>>
      localHandler;
  private final ScheduledExecutorService timer;
  private final CallListener listener;
  private final LongSupplier monotonicMillis;
  private final Supplier<ByteString> callIds;
  private final Set<PendingCall> pendingCalls = ConcurrentHashMap.newKeySet();

  /**
   * Creates a client.
   *
   * @param peers connections to control daemons
   * @param ownInstance instance id of this process
   * @param localHandler serves calls while this process is the leader; null if it never is
   * @param timer runs retries; owned by the caller
   * @param listener receives the result of each call
   * @param monotonicMillis monotonic clock in milliseconds
   * @param callIds generates identifiers of calls that no other process generates
   */
  public LeaderClient(
      ControlPeers peers,
      String ownInstance,
      @Nullable Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> localHandler,
      ScheduledExecutorService timer,
      CallListener listener,
      LongSupplier monotonicMillis,
      Supplier<ByteString> callIds) {
    this.peers = requireNonNull(peers, "peers is null");
    this.ownInstance = requireNonNull(ownInstance, "ownInstance is null");
    this.localHandler = localHandler;
    this.timer = requireNonNull(timer, "timer is null");
    this.listener = requireNonNull(listener, "listener is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    this.callIds = requireNonNull(callIds, "callIds is null");
    peers.addLeaderListener(
        leader -> pendingCalls.forEach(call -> call.handleLeaderChange(leader)));
    peers.addReadyListener(address -> pendingCalls.forEach(call -> call.handleConnected(address)));
  }

  /**
   * Sends a call.
   *
   * @param call the call; must not be modified afterwards
   * @param timeoutMillis time after which the call is not retried any more
   * @return the response; a failure {@code "unknown"} if no leader responded in time, or if a later
   *     attempt was refused after an earlier one that may have taken effect; or the failure with
   *     which the leader responded
   */
  public CompletableFuture<Result<Envelope>> call(Envelope.Builder call, long timeoutMillis) {
    return call(call, timeoutMillis, () -> true);
  }

  /**
   * Sends a call while its caller waits. A call that was read after a pause of this process, when
   * its caller had left, is not sent: the caller may have replaced it since.
   *
   * @param call the call; must not be modified afterwards
   * @param timeoutMillis time after which the call is not retried any more
   * @param callerWaits returns whether the caller still waits for the response; asked before each
   *     attempt, must not block
   * @return the result as of {@link #call(Envelope.Builder, long)}; or a failure {@code "unknown"}
   *     or {@code "abandoned"} if the caller has left after or before the first attempt
   */
  public CompletableFuture<Result<Envelope>> call(
      Envelope.Builder call, long timeoutMillis, BooleanSupplier callerWaits) {
    requireNonNull(call, "call is null");
    requireNonNull(callerWaits, "callerWaits is null");
    PendingCall pending =
        new PendingCall(call.setCallId(callIds.get()), timeoutMillis, callerWaits);
    pendingCalls.add(pending);
    pending.startAttempt();
    return pending.future;
  }

  /** A call and its attempts; an attempt starts only after the previous one has ended. */
  private final class PendingCall {

    private final Envelope.Builder call;
    private final long startMillis = monotonicMillis.getAsLong();
    private final long deadlineMillis;
    private final BooleanSupplier callerWaits;
    private final CompletableFuture<Result<Envelope>> future = new CompletableFuture<>();
    private final AtomicInteger attemptCount = new AtomicInteger();
    private volatile String lastProblem = "";
    private volatile ControlPeers.Leader leader = peers.leader();
    private volatile CompletableFuture<Result<Envelope>> currentAttempt = new CompletableFuture<>();

    /** How many attempts came before the one that waits, or {@link #NO_ATTEMPT}. */
    private final AtomicInteger waitingAttempt = new AtomicInteger(NO_ATTEMPT);

    PendingCall(Envelope.Builder call, long timeoutMillis, BooleanSupplier callerWaits) {
      this.call = call;
      this.callerWaits = callerWaits;
      this.deadlineMillis = startMillis + timeoutMillis;
    }

    void startAttempt() {
      long remainingMillis = deadlineMillis - monotonicMillis.getAsLong();
      if (remainingMillis <= 0) {
        complete(Result.failure(UNKNOWN, "no leader responded in time"));
        return;
      }
      if (!callerWaits.getAsBoolean()) {
        complete(
            Result.failure(
                attemptCount.get() == 0 ? "abandoned" : UNKNOWN, "the caller no longer waits"));
        return;
      }
      leader = peers.leader();
      attemptCount.incrementAndGet();
      CompletableFuture<Result<Envelope>> newAttempt = new CompletableFuture<>();
      currentAttempt = newAttempt;
      newAttempt.thenAccept(this::handleResult);
      send(call, leader.instanceId(), Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS))
          .thenAccept(newAttempt::complete);
    }

    /** Ends the current attempt if the leader has changed: the previous one may have failed. */
    void handleLeaderChange(ControlPeers.Leader newLeader) {
      if (!newLeader.instanceId().isEmpty()
          && !newLeader.instanceId().equals(leader.instanceId())) {
        currentAttempt.complete(Result.failure("unknown", "another leader is known"));
        startWaitingAttempt();
      }
    }

    /** Starts the next attempt if it only waits, as for the connection that is ready now. */
    void handleConnected(String address) {
      if (InstanceIds.addressOf(peers.leader().instanceId()).equals(address)) {
        startWaitingAttempt();
      }
    }

    private void startWaitingAttempt() {
      int number = waitingAttempt.get();
      if (number != NO_ATTEMPT) {
        timer.execute(() -> startScheduled(number));
      }
    }

    private void scheduleAttempt(long delayMillis) {
      long remainingMillis = Math.max(0, deadlineMillis - monotonicMillis.getAsLong());
      int number = attemptCount.get();
      waitingAttempt.set(number);
      timer.schedule(
          () -> startScheduled(number),
          Math.min(delayMillis, remainingMillis),
          TimeUnit.MILLISECONDS);
    }

    // Both the timer and a listener may start an attempt that waits; the first one does.
    private void startScheduled(int number) {
      if (waitingAttempt.compareAndSet(number, NO_ATTEMPT)) {
        startAttempt();
      }
    }

    private void handleResult(Result<Envelope> result) {
      Optional<Problem> retryable =
          result.problem().filter(p -> RETRYABLE_CODES.contains(p.code()));
      if (retryable.isPresent()) {
        lastProblem = retryable.get().message();
        if (retryable.get().code().equals(UNKNOWN)) {
          call.setRetried(true);
        }
        scheduleAttempt(isLeaderReachable() ? RETRY_DELAY_MILLIS : POLL_DELAY_MILLIS);
      } else {
        complete(result.flatMap(this::withoutContradiction));
      }
    }

    /** Returns whether a call could be sent now; if not, a listener starts the next attempt. */
    private boolean isLeaderReachable() {
      String instance = peers.leader().instanceId();
      return (localHandler != null && instance.equals(ownInstance))
          || peers.connection(instance).isPresent();
    }

    private Result<Envelope> withoutContradiction(Envelope reply) {
      return Refusals.mayContradictEarlierAttempt(call, reply)
          ? Result.failure(
              UNKNOWN,
              "an earlier attempt may have taken effect; a later one was refused: "
                  + reply.getWorkflowReply().getReason())
          : Result.success(reply);
    }

    private void complete(Result<Envelope> result) {
      pendingCalls.remove(this);
      listener.onCallEnded(
          call.build(),
          result,
          new CallListener.CallSummary(
              attemptCount.get(),
              lastProblem,
              leader.instanceId(),
              leader.term(),
              monotonicMillis.getAsLong() - startMillis));
      future.complete(result);
    }
  }

  private CompletableFuture<Result<Envelope>> send(
      Envelope.Builder call, String leaderInstance, long timeoutMillis) {
    Function<Envelope, CompletableFuture<Result<Envelope.Builder>>> handler = localHandler;
    if (handler != null && leaderInstance.equals(ownInstance)) {
      return handler
          .apply(call.build())
          .thenApply(result -> result.map(Envelope.Builder::build))
          .completeOnTimeout(
              Result.failure("unknown", "no response within " + timeoutMillis + " ms"),
              timeoutMillis,
              TimeUnit.MILLISECONDS);
    }
    Optional<PeerConnection> connection = peers.connection(leaderInstance);
    if (connection.isEmpty()) {
      return CompletableFuture.completedFuture(
          Result.failure("unavailable", "no connection to a leader"));
    }
    return connection
        .get()
        .request(call.clone(), timeoutMillis)
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
