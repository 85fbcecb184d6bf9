package org.hickoryspar.node.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hickoryspar.kernel.requests.BatchQueue;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Claim;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimBatchResult;
import org.hickoryspar.protocol.ClaimResult;
import org.hickoryspar.protocol.Outcome;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeRecord;

/**
 * Claims idempotency keys and records outcomes at control, with at most one batch of claims and one
 * batch of outcomes in flight.
 */
final class ClaimBatcher {

  /** Half of the largest command that a replica accepts (2 MiB); the rest is for the framing. */
  private static final long MAX_BATCH_BYTES = 1 << 20;

  private static final int MAX_BATCH_ITEMS = 1_000;

  /** Longer than a change of the leader (2 s). */
  private static final long CALL_TIMEOUT_MILLIS = 3_000;

  private static final long RETRY_DELAY_MILLIS = 200;

  /** Bounds the memory of claims and outcomes while control is unreachable. */
  private static final int MAX_PENDING = 1_000;

  private final String instanceId;
  private final long incarnation;
  private final ControlLink control;
  private final ScheduledExecutorService timer;
  private final BatchQueue<PendingClaim> claimQueue =
      new BatchQueue<>(MAX_BATCH_ITEMS, MAX_BATCH_BYTES);
  private final BatchQueue<PendingOutcome> outcomeQueue =
      new BatchQueue<>(MAX_BATCH_ITEMS, MAX_BATCH_BYTES);

  ClaimBatcher(
      String instanceId, long incarnation, ControlLink control, ScheduledExecutorService timer) {
    this.instanceId = instanceId;
    this.incarnation = incarnation;
    this.control = control;
    this.timer = timer;
  }

  /** Returns whether so many claims and outcomes are pending that no key should be claimed. */
  boolean isFull() {
    return outcomeQueue.size() + claimQueue.size() >= MAX_PENDING;
  }

  /** Returns whether no outcome is pending. */
  boolean allOutcomesRecorded() {
    return outcomeQueue.size() == 0;
  }

  /** Claims a key; the callback receives the result exactly once. */
  void claim(String team, String key, byte[] fingerprint, Consumer<Result<ClaimResult>> onResult) {
    Claim claim =
        Claim.newBuilder()
            .setTeam(team)
            .setKey(key)
            .setFingerprint(ByteString.copyFrom(fingerprint))
            .setClaimId(UUID.randomUUID().toString())
            .build();
    enqueueClaim(
        claim,
        result -> {
          if (!result.isSuccess() && !isUnavailable(result)) {
            scheduleResolution(claim);
          }
          onResult.accept(result);
        });
  }

  private void enqueueClaim(Claim claim, Consumer<Result<ClaimResult>> onResult) {
    claimQueue.add(new PendingClaim(claim, onResult), claim.getSerializedSize());
    sendClaimBatch();
  }

  private static boolean isUnavailable(Result<ClaimResult> result) {
    return result.problem().filter(problem -> problem.code().equals("unavailable")).isPresent();
  }

  /**
   * Retries a claim whose response was lost, after a delay, and records the outcome not-run if it
   * is granted.
   *
   * <p>Without an outcome the key would stay in progress. An outcome recorded without the retry
   * could overwrite that of an earlier submission of the key, which may have run.
   */
  private void scheduleResolution(Claim claim) {
    if (timer.isShutdown()) {
      return;
    }
    var unused =
        timer.schedule(
            () -> enqueueClaim(claim, result -> resolveLostClaim(claim, result)),
            RETRY_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void resolveLostClaim(Claim claim, Result<ClaimResult> result) {
    if (!result.isSuccess()) {
      scheduleResolution(claim);
    } else if (result
        .map(claimResult -> claimResult.getStatus() == ClaimResult.Status.GRANTED)
        .getOrElse(false)) {
      var unused = record(claim.getTeam(), claim.getKey(), Outcomes.of(Outcome.Kind.NOT_RUN, 503));
    }
  }

  /** Records an outcome; retries until it is durable and then completes the future. */
  CompletableFuture<Boolean> record(String team, String key, Outcome outcome) {
    OutcomeRecord outcomeRecord =
        OutcomeRecord.newBuilder().setTeam(team).setKey(key).setOutcome(outcome).build();
    CompletableFuture<Boolean> recorded = new CompletableFuture<>();
    outcomeQueue.add(
        new PendingOutcome(outcomeRecord, recorded), outcomeRecord.getSerializedSize());
    sendOutcomeBatch();
    return recorded;
  }

  private void sendClaimBatch() {
    List<PendingClaim> batch = claimQueue.nextBatch();
    if (batch.isEmpty()) {
      return;
    }
    ClaimBatch.Builder message =
        ClaimBatch.newBuilder().setEntryInstance(instanceId).setEntryIncarnation(incarnation);
    batch.forEach(pending -> message.addClaims(pending.claim));
    var unused =
        control
            .claim(message.build(), CALL_TIMEOUT_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  Result<ClaimBatchResult> batchResult =
                      failure == null ? result : Result.failure("lost", String.valueOf(failure));
                  claimQueue.endBatch(false);
                  deliverResults(batch, batchResult);
                  sendClaimBatch();
                });
  }

  private static void deliverResults(List<PendingClaim> batch, Result<ClaimBatchResult> result) {
    Result<ClaimBatchResult> checkedResult =
        result.flatMap(
            batchResult ->
                batchResult.getResultsCount() == batch.size()
                    ? Result.success(batchResult)
                    : Result.failure(
                        "protocol", "the number of results differs from the number of claims"));
    for (int i = 0; i < batch.size(); i++) {
      int index = i;
      batch.get(i).onResult.accept(checkedResult.map(batchResult -> batchResult.getResults(index)));
    }
  }

  private void sendOutcomeBatch() {
    List<PendingOutcome> batch = outcomeQueue.nextBatch();
    if (batch.isEmpty()) {
      return;
    }
    OutcomeBatch.Builder message =
        OutcomeBatch.newBuilder().setEntryInstance(instanceId).setEntryIncarnation(incarnation);
    batch.forEach(pending -> message.addRecords(pending.outcome));
    var unused =
        control
            .record(message.build(), CALL_TIMEOUT_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  if (failure == null && result.isSuccess()) {
                    outcomeQueue.endBatch(false);
                    batch.forEach(pending -> pending.recorded.complete(true));
                    sendOutcomeBatch();
                  } else {
                    EventLogger.log(
                        EntryEvent.OUTCOME_NOT_RECORDED,
                        batch.size(),
                        failure == null ? result.problem().orElse(null) : failure);
                    scheduleOutcomeRetry();
                  }
                });
  }

  private void scheduleOutcomeRetry() {
    if (timer.isShutdown()) {
      return;
    }
    var unused =
        timer.schedule(
            () -> {
              outcomeQueue.endBatch(true);
              sendOutcomeBatch();
            },
            RETRY_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private record PendingClaim(Claim claim, Consumer<Result<ClaimResult>> onResult) {}

  private record PendingOutcome(OutcomeRecord outcome, CompletableFuture<Boolean> recorded) {}
}
