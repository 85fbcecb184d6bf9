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

/** Control in memory, shared by entries, with switches for its failures. */
final class FakeControl implements ControlLink {

  private static final int LEASE_MILLIS = 3_000;

  volatile boolean reachable = true;
  volatile int leasableSlots = 8;

  /** Runs before a claim is answered; may delay or fail it. */
  volatile Supplier<CompletableFuture<Boolean>> beforeClaimAnswer =
      () -> CompletableFuture.completedFuture(true);

  /** Completes when outcomes may become durable. */
  volatile CompletableFuture<Boolean> recordGate = CompletableFuture.completedFuture(true);

  final AtomicInteger claims = new AtomicInteger();
  final AtomicInteger records = new AtomicInteger();
  private final Map<String, Held> held = new HashMap<>();
  private final Map<String, SlotLeaseTable> slots = new HashMap<>();
  private long version = 1;
  private String document =
      "{\"teams\":{\"north\":{},\"south\":{}},\"dataCentres\":{\"brest-a\":{\"out\":false}},"
          + "\"services\":{\"catalogue\":{}}}";

  private record Held(ByteString fingerprint, String entry, String claimId, Outcome outcome) {}

  synchronized void configure(long newVersion, String newDocument) {
    version = newVersion;
    document = newDocument;
  }

  /** Ends the claims of an entry that died without an outcome. */
  synchronized void entryLost(String entry) {
    held.replaceAll(
        (key, claim) ->
            claim.outcome == null && claim.entry.equals(entry)
                ? new Held(
                    claim.fingerprint, entry, claim.claimId, Outcomes.of(Outcome.Kind.UNKNOWN, 504))
                : claim);
  }

  synchronized Outcome outcome(String team, String key) {
    Held claim = held.get(team + '/' + key);
    return claim == null ? null : claim.outcome;
  }

  @Override
  public CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long deadlineMillis) {
    if (!reachable) {
      return unavailable();
    }
    ClaimBatchResult.Builder answer = ClaimBatchResult.newBuilder();
    synchronized (this) {
      for (Claim claim : batch.getClaimsList()) {
        claims.incrementAndGet();
        answer.addResults(claim(batch, claim));
      }
    }
    return beforeClaimAnswer
        .get()
        .thenApply(
            ok -> ok ? Result.success(answer.build()) : Result.failure("timeout", "no answer"));
  }

  private ClaimResult claim(ClaimBatch batch, Claim claim) {
    String name = claim.getTeam() + '/' + claim.getKey();
    Held old = held.get(name);
    ClaimResult.Builder result = ClaimResult.newBuilder();
    if (old == null) {
      held.put(
          name,
          new Held(claim.getFingerprint(), batch.getEntryInstance(), claim.getClaimId(), null));
      return result.setStatus(ClaimResult.Status.GRANTED).build();
    }
    if (!old.fingerprint.equals(claim.getFingerprint())) {
      return result.setStatus(ClaimResult.Status.FINGERPRINT_MISMATCH).build();
    }
    if (old.outcome == null && old.claimId.equals(claim.getClaimId())) {
      return result.setStatus(ClaimResult.Status.GRANTED).build();
    }
    return old.outcome == null
        ? result.setStatus(ClaimResult.Status.IN_PROGRESS).setHolderInstance(old.entry).build()
        : result.setStatus(ClaimResult.Status.COMPLETED).setOutcome(old.outcome).build();
  }

  @Override
  public CompletableFuture<Result<OutcomeBatchResult>> record(
      OutcomeBatch batch, long deadlineMillis) {
    return recordGate.thenApply(
        open -> {
          if (!reachable) {
            return Result.failure("unavailable", "no leader");
          }
          synchronized (this) {
            for (OutcomeRecord each : batch.getRecordsList()) {
              records.incrementAndGet();
              held.computeIfPresent(
                  each.getTeam() + '/' + each.getKey(),
                  (name, claim) ->
                      new Held(claim.fingerprint, claim.entry, claim.claimId, each.getOutcome()));
            }
          }
          return Result.success(OutcomeBatchResult.getDefaultInstance());
        });
  }

  @Override
  public synchronized CompletableFuture<Result<ConfigUpdate>> watch(
      ConfigWatch watch, long deadlineMillis) {
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
      SlotLeaseRequest request, long deadlineMillis) {
    if (!reachable) {
      return unavailable();
    }
    long now = System.nanoTime() / 1_000_000;
    SlotLeaseGrant.Builder grant = SlotLeaseGrant.newBuilder().setLeaseMillis(LEASE_MILLIS);
    for (SlotDemand demand : request.getDemandsList()) {
      int granted =
          slots
              .computeIfAbsent(demand.getMinion(), m -> new SlotLeaseTable())
              .grant(
                  request.getEntryInstance(), demand.getSlots(), leasableSlots, now, LEASE_MILLIS);
      grant.addGrants(SlotDemand.newBuilder().setMinion(demand.getMinion()).setSlots(granted));
    }
    return CompletableFuture.completedFuture(Result.success(grant.build()));
  }

  @Override
  public CompletableFuture<Result<JobResult>> job(
      JobCall call, String traceParent, long deadlineMillis) {
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
      OperatorCall call, String traceParent, long deadlineMillis) {
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
