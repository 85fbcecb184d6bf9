package org.hickoryspar.node.entry;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.hickoryspar.kernel.requests.SlotLeaseTable;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.Claim;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimBatchResult;
import org.hickoryspar.protocol.ClaimResult;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.JobResult;
import org.hickoryspar.protocol.OperatorCall;
import org.hickoryspar.protocol.OperatorResult;
import org.hickoryspar.protocol.Outcome;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeBatchResult;
import org.hickoryspar.protocol.OutcomeRecord;
import org.hickoryspar.protocol.SlotDemand;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/** An in-memory control that several entries share, with failures that can be injected. */
final class FakeControl implements ControlLink {

  private static final int LEASE_MILLIS = 3_000;

  volatile boolean reachable = true;
  volatile int leasableSlots = 8;

  /** Runs before the response to a claim; delays it, or drops it if the result is false. */
  volatile Supplier<CompletableFuture<Boolean>> beforeClaimResponse =
      () -> CompletableFuture.completedFuture(true);

  /** Outcomes become durable only after this future completes. */
  volatile CompletableFuture<Boolean> recordGate = CompletableFuture.completedFuture(true);

  final AtomicInteger claimCount = new AtomicInteger();
  final AtomicInteger recordCount = new AtomicInteger();
  private final Map<String, StoredClaim> claimsByKey = new HashMap<>();
  private final Map<String, SlotLeaseTable> leaseTables = new HashMap<>();
  private long version = 1;
  private String document =
      "{\"teams\":{\"north\":{},\"south\":{}},\"dataCentres\":{\"brest-a\":{\"out\":false}},"
          + "\"services\":{\"catalogue\":{}}}";

  private record StoredClaim(
      ByteString fingerprint, String entry, String claimId, Outcome outcome) {}

  synchronized void configure(long newVersion, String newDocument) {
    version = newVersion;
    document = newDocument;
  }

  /** Records the outcome unknown for the open claims of a lost entry. */
  synchronized void handleEntryLost(String entry) {
    claimsByKey.replaceAll(
        (key, claim) ->
            claim.outcome == null && claim.entry.equals(entry)
                ? new StoredClaim(
                    claim.fingerprint, entry, claim.claimId, Outcomes.of(Outcome.Kind.UNKNOWN, 504))
                : claim);
  }

  synchronized Outcome outcome(String team, String key) {
    StoredClaim claim = claimsByKey.get(team + '/' + key);
    return claim == null ? null : claim.outcome;
  }

  @Override
  public CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long timeoutMillis) {
    if (!reachable) {
      return unavailable();
    }
    ClaimBatchResult.Builder batchResult = ClaimBatchResult.newBuilder();
    synchronized (this) {
      for (Claim claim : batch.getClaimsList()) {
        claimCount.incrementAndGet();
        batchResult.addResults(claim(batch, claim));
      }
    }
    return beforeClaimResponse
        .get()
        .thenApply(
            delivered ->
                delivered
                    ? Result.success(batchResult.build())
                    : Result.failure("timeout", "no response"));
  }

  private ClaimResult claim(ClaimBatch batch, Claim claim) {
    String qualifiedKey = claim.getTeam() + '/' + claim.getKey();
    StoredClaim existing = claimsByKey.get(qualifiedKey);
    ClaimResult.Builder result = ClaimResult.newBuilder();
    if (existing == null) {
      claimsByKey.put(
          qualifiedKey,
          new StoredClaim(
              claim.getFingerprint(), batch.getEntryInstance(), claim.getClaimId(), null));
      return result.setStatus(ClaimResult.Status.GRANTED).build();
    }
    if (!existing.fingerprint.equals(claim.getFingerprint())) {
      return result.setStatus(ClaimResult.Status.FINGERPRINT_MISMATCH).build();
    }
    if (existing.outcome == null && existing.claimId.equals(claim.getClaimId())) {
      return result.setStatus(ClaimResult.Status.GRANTED).build();
    }
    return existing.outcome == null
        ? result.setStatus(ClaimResult.Status.IN_PROGRESS).setHolderInstance(existing.entry).build()
        : result.setStatus(ClaimResult.Status.COMPLETED).setOutcome(existing.outcome).build();
  }

  @Override
  public CompletableFuture<Result<OutcomeBatchResult>> record(
      OutcomeBatch batch, long timeoutMillis) {
    return recordGate.thenApply(
        open -> {
          if (!reachable) {
            return Result.failure("unavailable", "no leader");
          }
          synchronized (this) {
            for (OutcomeRecord outcomeRecord : batch.getRecordsList()) {
              recordCount.incrementAndGet();
              claimsByKey.computeIfPresent(
                  outcomeRecord.getTeam() + '/' + outcomeRecord.getKey(),
                  (qualifiedKey, claim) ->
                      new StoredClaim(
                          claim.fingerprint,
                          claim.entry,
                          claim.claimId,
                          outcomeRecord.getOutcome()));
            }
          }
          return Result.success(OutcomeBatchResult.getDefaultInstance());
        });
  }

  @Override
  public synchronized CompletableFuture<Result<ConfigUpdate>> watch(
      ConfigWatch watch, long timeoutMillis) {
    if (!reachable) {
      return unavailable();
    }
    ConfigUpdate.Builder update =
        ConfigUpdate.newBuilder().setVersion(version).setLeaseMillis(LEASE_MILLIS);
    if (watch.getVersionInForce() != version) {
      update.setFullDocumentJson(ByteString.copyFromUtf8(document));
    }
    return CompletableFuture.completedFuture(Result.success(update.build()));
  }

  @Override
  public synchronized CompletableFuture<Result<SlotLeaseGrant>> leaseSlots(
      SlotLeaseRequest request, long timeoutMillis) {
    if (!reachable) {
      return unavailable();
    }
    long nowMillis = System.nanoTime() / 1_000_000;
    SlotLeaseGrant.Builder grant = SlotLeaseGrant.newBuilder().setLeaseMillis(LEASE_MILLIS);
    for (SlotDemand demand : request.getDemandsList()) {
      int granted =
          leaseTables
              .computeIfAbsent(demand.getMinion(), minionId -> new SlotLeaseTable())
              .grant(
                  request.getEntryInstance(),
                  demand.getSlots(),
                  leasableSlots,
                  nowMillis,
                  LEASE_MILLIS);
      grant.addGrants(SlotDemand.newBuilder().setMinion(demand.getMinion()).setSlots(granted));
    }
    return CompletableFuture.completedFuture(Result.success(grant.build()));
  }

  @Override
  public CompletableFuture<Result<JobResult>> job(
      JobCall call, String traceParent, long timeoutMillis) {
    return reachable
        ? CompletableFuture.completedFuture(
            Result.success(
                JobResult.newBuilder()
                    .setHttpStatus(200)
                    .setBodyJson(
                        ByteString.copyFromUtf8(
                            "{\"kind\":\""
                                + call.getKind()
                                + "\",\"team\":\""
                                + call.getTeam()
                                + "\"}"))
                    .build()))
        : unavailable();
  }

  @Override
  public CompletableFuture<Result<OperatorResult>> operator(
      OperatorCall call, String traceParent, long timeoutMillis) {
    return reachable
        ? CompletableFuture.completedFuture(
            Result.success(
                OperatorResult.newBuilder()
                    .setHttpStatus(200)
                    .setBodyJson(
                        ByteString.copyFromUtf8(
                            "{\"kind\":\""
                                + call.getKind()
                                + "\",\"owner\":\""
                                + call.getOwner()
                                + "\",\"base\":"
                                + call.getBaseVersion()
                                + "}"))
                    .build()))
        : unavailable();
  }

  private static <T> CompletableFuture<Result<T>> unavailable() {
    return CompletableFuture.completedFuture(Result.failure("unavailable", "no leader"));
  }
}
