package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
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
 * <p>Every call may be repeated without harm: claims carry an id, changes a change id, and
 * submissions an idempotency key. So a call whose answer was lost is sent again, also to another
 * replica, until its deadline.
 */
public final class ControlClient implements ControlLink {

  /** A replica that has not answered by then may be cut off; another one is asked. */
  private static final long ATTEMPT_MILLIS = 1_500;

  private static final long RETRY_MILLIS = 100;

  private final List<PeerConnection> replicas;
  private final LongSupplier monotonicMillis;
  private final AtomicInteger preferred = new AtomicInteger();

  /**
   * Creates a client; the connections are dialled and closed by the caller.
   *
   * @param replicas one connection per control replica
   * @param monotonicMillis a clock that never goes back
   */
  public ControlClient(List<PeerConnection> replicas, LongSupplier monotonicMillis) {
    this.replicas = List.copyOf(replicas);
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    if (replicas.isEmpty()) {
      throw new IllegalArgumentException("there is no control replica");
    }
  }

  @Override
  public CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long deadlineMillis) {
    requireNonNull(batch, "batch is null");
    return call(
        () -> Envelope.newBuilder().setClaimBatch(batch),
        "",
        Envelope::getClaimBatchResult,
        deadlineMillis);
  }

  @Override
  public CompletableFuture<Result<OutcomeBatchResult>> record(
      OutcomeBatch batch, long deadlineMillis) {
    requireNonNull(batch, "batch is null");
    return call(
        () -> Envelope.newBuilder().setOutcomeBatch(batch),
        "",
        Envelope::getOutcomeBatchResult,
        deadlineMillis);
  }

  @Override
  public CompletableFuture<Result<ConfigUpdate>> watch(ConfigWatch watch, long deadlineMillis) {
    requireNonNull(watch, "watch is null");
    return call(
        () -> Envelope.newBuilder().setConfigWatch(watch),
        "",
        Envelope::getConfigUpdate,
        deadlineMillis);
  }

  @Override
  public CompletableFuture<Result<SlotLeaseGrant>> leaseSlots(
      SlotLeaseRequest request, long deadlineMillis) {
    requireNonNull(request, "request is null");
    return call(
        () -> Envelope.newBuilder().setSlotLeaseRequest(request),
        "",
        Envelope::getSlotLeaseGrant,
        deadlineMillis);
  }

  @Override
  public CompletableFuture<Result<JobResult>> job(
      JobCall call, String traceParent, long deadlineMillis) {
    requireNonNull(call, "call is null");
    return call(
        () -> Envelope.newBuilder().setJobCall(call),
        traceParent,
        Envelope::getJobResult,
        deadlineMillis);
  }

  @Override
  public CompletableFuture<Result<OperatorResult>> operator(
      OperatorCall call, String traceParent, long deadlineMillis) {
    requireNonNull(call, "call is null");
    return call(
        () -> Envelope.newBuilder().setOperatorCall(call),
        traceParent,
        Envelope::getOperatorResult,
        deadlineMillis);
  }

  private <T> CompletableFuture<Result<T>> call(
      Supplier<Envelope.Builder> request,
      String traceParent,
      Function<Envelope, T> reader,
      long deadlineMillis) {
    requireNonNull(traceParent, "traceParent is null");
    long endMillis = monotonicMillis.getAsLong() + deadlineMillis;
    return attempt(() -> request.get().setTraceParent(traceParent), reader, endMillis, false);
  }

  private <T> CompletableFuture<Result<T>> attempt(
      Supplier<Envelope.Builder> request,
      Function<Envelope, T> reader,
      long endMillis,
      boolean sentBefore) {
    long leftMillis = endMillis - monotonicMillis.getAsLong();
    if (leftMillis <= 0) {
      return CompletableFuture.completedFuture(
          sentBefore
              ? Result.failure("unknown", "no control replica answered in time")
              : Result.failure("unavailable", "no control replica leads"));
    }
    int index = preferred.get();
    return replicas
        .get(index)
        .request(request.get(), Math.min(leftMillis, ATTEMPT_MILLIS))
        .thenCompose(
            result ->
                result.fold(
                    problem ->
                        retry(
                            request,
                            reader,
                            endMillis,
                            index,
                            "",
                            sentBefore || problem.code().equals("unknown")),
                    answer -> accept(answer, request, reader, endMillis, index, sentBefore)));
  }

  private <T> CompletableFuture<Result<T>> accept(
      Envelope answer,
      Supplier<Envelope.Builder> request,
      Function<Envelope, T> reader,
      long endMillis,
      int index,
      boolean sentBefore) {
    if (!answer.hasFailure()) {
      return CompletableFuture.completedFuture(Result.success(reader.apply(answer)));
    }
    Problem problem = Problem.of(answer.getFailure().getCode(), answer.getFailure().getMessage());
    return switch (problem.code()) {
      case "not-leader", "unavailable" ->
          retry(request, reader, endMillis, index, answer.getFailure().getLeaderHint(), sentBefore);
      case "unknown" -> retry(request, reader, endMillis, index, "", true);
      default -> CompletableFuture.completedFuture(Result.failure(problem));
    };
  }

  private <T> CompletableFuture<Result<T>> retry(
      Supplier<Envelope.Builder> request,
      Function<Envelope, T> reader,
      long endMillis,
      int failedIndex,
      String leaderHint,
      boolean sentBefore) {
    boolean hinted = prefer(failedIndex, leaderHint);
    Executor executor =
        hinted
            ? Runnable::run
            : CompletableFuture.delayedExecutor(RETRY_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.supplyAsync(
            () -> attempt(request, reader, endMillis, sentBefore), executor)
        .thenCompose(answer -> answer);
  }

  /** Returns whether a hint named another replica that is connected. */
  private boolean prefer(int failedIndex, String leaderHint) {
    for (int i = 0; i < replicas.size(); i++) {
      PeerConnection replica = replicas.get(i);
      if (i != failedIndex && replica.peerId().equals(leaderHint) && replica.isReady()) {
        preferred.compareAndSet(failedIndex, i);
        return true;
      }
    }
    preferred.compareAndSet(failedIndex, (failedIndex + 1) % replicas.size());
    return false;
  }
}
