package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpStatus;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimBatchResult;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.JobResult;
import org.hickoryspar.protocol.OperatorCall;
import org.hickoryspar.protocol.OperatorResult;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeBatchResult;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/**
 * Calls the control leader over one connection per replica.
 *
 * <p>All calls are idempotent: claims carry an id, changes a change id, and submissions an
 * idempotency key. A call without a response is therefore retried until its deadline, also at other
 * replicas.
 */
public final class ControlClient implements ControlLink {

  /** Timeout of one attempt; the replica may be partitioned, and another one is tried. */
  private static final long ATTEMPT_TIMEOUT_MILLIS = 1_500;

  private static final long RETRY_DELAY_MILLIS = 100;

  /**
   * Statuses of refused submissions that depend on the state at the time of the attempt, unlike
   * those of malformed ones: the key has expired, or the team has too many unfinished jobs.
   */
  private static final Set<Integer> STATE_DEPENDENT_REFUSALS =
      Set.of(HttpStatus.GONE_410, HttpStatus.TOO_MANY_REQUESTS_429);

  private final List<PeerConnection> replicas;
  private final LongSupplier monotonicMillis;
  private final AtomicInteger preferredIndex = new AtomicInteger();

  /**
   * Creates a client; the caller opens and closes the connections.
   *
   * @param replicas one connection per control replica, at least one
   * @param monotonicMillis monotonic clock in milliseconds
   * @throws IllegalArgumentException if {@code replicas} is empty
   */
  public ControlClient(List<PeerConnection> replicas, LongSupplier monotonicMillis) {
    this.replicas = List.copyOf(replicas);
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    if (replicas.isEmpty()) {
      throw new IllegalArgumentException("replicas is empty");
    }
  }

  @Override
  public CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long timeoutMillis) {
    requireNonNull(batch, "batch is null");
    return call(
        () -> Envelope.newBuilder().setClaimBatch(batch),
        Envelope::getClaimBatchResult,
        timeoutMillis);
  }

  @Override
  public CompletableFuture<Result<OutcomeBatchResult>> record(
      OutcomeBatch batch, long timeoutMillis) {
    requireNonNull(batch, "batch is null");
    return call(
        () -> Envelope.newBuilder().setOutcomeBatch(batch),
        Envelope::getOutcomeBatchResult,
        timeoutMillis);
  }

  @Override
  public CompletableFuture<Result<ConfigUpdate>> watch(ConfigWatch watch, long timeoutMillis) {
    requireNonNull(watch, "watch is null");
    return call(
        () -> Envelope.newBuilder().setConfigWatch(watch),
        Envelope::getConfigUpdate,
        timeoutMillis);
  }

  @Override
  public CompletableFuture<Result<SlotLeaseGrant>> leaseSlots(
      SlotLeaseRequest request, long timeoutMillis) {
    requireNonNull(request, "request is null");
    return call(
        () -> Envelope.newBuilder().setSlotLeaseRequest(request),
        Envelope::getSlotLeaseGrant,
        timeoutMillis);
  }

  @Override
  public CompletableFuture<Result<JobResult>> job(
      JobCall call, String traceParent, long timeoutMillis) {
    requireNonNull(call, "call is null");
    boolean submits = call.getKind() == JobCall.Kind.SUBMIT;
    return start(
        new Call<>(
            () -> Envelope.newBuilder().setJobCall(call).setTraceParent(traceParent),
            Envelope::getJobResult,
            result -> submits && STATE_DEPENDENT_REFUSALS.contains(result.getHttpStatus()),
            deadlineMillis(timeoutMillis)));
  }

  @Override
  public CompletableFuture<Result<OperatorResult>> operator(
      OperatorCall call, String traceParent, long timeoutMillis) {
    requireNonNull(call, "call is null");
    return call(
        () -> Envelope.newBuilder().setOperatorCall(call).setTraceParent(traceParent),
        Envelope::getOperatorResult,
        timeoutMillis);
  }

  private <T> CompletableFuture<Result<T>> call(
      Supplier<Envelope.Builder> request,
      Function<Envelope, T> responseReader,
      long timeoutMillis) {
    return start(
        new Call<>(request, responseReader, response -> false, deadlineMillis(timeoutMillis)));
  }

  private long deadlineMillis(long timeoutMillis) {
    return monotonicMillis.getAsLong() + timeoutMillis;
  }

  private <T> CompletableFuture<Result<T>> start(Call<T> call) {
    return attempt(call, false);
  }

  private <T> CompletableFuture<Result<T>> attempt(Call<T> call, boolean mayHaveBeenSent) {
    long remainingMillis = call.deadlineMillis - monotonicMillis.getAsLong();
    if (remainingMillis <= 0) {
      return CompletableFuture.completedFuture(
          mayHaveBeenSent
              ? Result.failure("unknown", "no control replica responded in time")
              : Result.failure("unavailable", "no control replica is the leader"));
    }
    int index = preferredIndex.get();
    return replicas
        .get(index)
        .request(call.request.get(), Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS))
        .thenCompose(
            result ->
                result.fold(
                    problem ->
                        retry(call, index, "", mayHaveBeenSent || problem.code().equals("unknown")),
                    response -> handleResponse(call, response, index, mayHaveBeenSent)));
  }

  private <T> CompletableFuture<Result<T>> handleResponse(
      Call<T> call, Envelope response, int index, boolean mayHaveBeenSent) {
    if (!response.hasFailure()) {
      return CompletableFuture.completedFuture(readResponse(call, response, mayHaveBeenSent));
    }
    Problem problem =
        Problem.of(response.getFailure().getCode(), response.getFailure().getMessage());
    return switch (problem.code()) {
      case "not-leader", "unavailable" ->
          retry(call, index, response.getFailure().getLeaderHint(), mayHaveBeenSent);
      case "unknown" -> retry(call, index, "", true);
      default -> CompletableFuture.completedFuture(Result.failure(problem));
    };
  }

  private static <T> Result<T> readResponse(
      Call<T> call, Envelope response, boolean mayHaveBeenSent) {
    T value = call.responseReader.apply(response);
    return mayHaveBeenSent && call.isStateDependentRefusal.test(value)
        ? Result.failure(
            "unknown", "an earlier attempt may have taken effect; a later one was refused")
        : Result.success(value);
  }

  private <T> CompletableFuture<Result<T>> retry(
      Call<T> call, int failedIndex, String leaderHint, boolean mayHaveBeenSent) {
    boolean hintUsable = selectNextReplica(failedIndex, leaderHint);
    Executor executor =
        hintUsable
            ? Runnable::run
            : CompletableFuture.delayedExecutor(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.supplyAsync(() -> attempt(call, mayHaveBeenSent), executor)
        .thenCompose(response -> response);
  }

  /** Selects the next replica; returns whether the hint named another one that is connected. */
  private boolean selectNextReplica(int failedIndex, String leaderHint) {
    for (int i = 0; i < replicas.size(); i++) {
      PeerConnection replica = replicas.get(i);
      if (i != failedIndex && replica.peerId().equals(leaderHint) && replica.isReady()) {
        preferredIndex.compareAndSet(failedIndex, i);
        return true;
      }
    }
    preferredIndex.compareAndSet(failedIndex, (failedIndex + 1) % replicas.size());
    return false;
  }

  /**
   * A call with all its attempts.
   *
   * @param isStateDependentRefusal whether a response says that the call had no effect, for a
   *     reason that may not have applied to an earlier attempt
   */
  private record Call<T>(
      Supplier<Envelope.Builder> request,
      Function<Envelope, T> responseReader,
      Predicate<T> isStateDependentRefusal,
      long deadlineMillis) {}
}
