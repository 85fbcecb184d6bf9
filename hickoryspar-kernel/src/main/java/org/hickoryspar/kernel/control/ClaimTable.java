package org.hickoryspar.kernel.control;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hickoryspar.protocol.Claim;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimBatchResult;
import org.hickoryspar.protocol.ClaimRecord;
import org.hickoryspar.protocol.ClaimResult;
import org.hickoryspar.protocol.EntryLost;
import org.hickoryspar.protocol.Outcome;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeRecord;

/**
 * Stores the claims of non-idempotent requests and their outcomes by team and idempotency key.
 *
 * <p>A key carries its creation time and is rejected once it is older than {@link
 * #RETENTION_MILLIS}. Its record can then be removed without the risk that the request runs twice.
 */
final class ClaimTable {

  /** How long a key is valid and its record is kept, counted from the key's creation time. */
  static final long RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /** Maximum time by which the clock of a caller may be ahead of the replicated time. */
  static final long MAX_CLOCK_SKEW_MILLIS = 5L * 60 * 1000;

  /** Maximum number of claims per team; bounds the replicated state under unlimited load. */
  static final int MAX_CLAIMS_PER_TEAM = 50_000;

  /** Maximum size of all recorded response bodies; the bodies of the oldest claims are dropped. */
  static final long MAX_BODY_BYTES = 16L << 20;

  /** Maximum number of lost entry processes kept; about five days at 359 restarts a day. */
  static final int MAX_LOST_ENTRIES = 2_000;

  private final Map<ClaimKey, ClaimRecord> records = new HashMap<>();
  private final TreeMap<Long, List<ClaimKey>> keysByCreationMillis = new TreeMap<>();
  private final Map<String, Integer> claimCountByTeam = new HashMap<>();
  private final Set<Holder> lostHolders = new LinkedHashSet<>();

  /** Claims with a recorded body, in an order that does not depend on when this replica started. */
  private final TreeSet<RecordedBody> recordedBodies = new TreeSet<>(RecordedBody.OLDEST_FIRST);

  private long recordedBodyBytes;

  synchronized ClaimBatchResult claim(ClaimBatch batch, long nowMillis) {
    removeExpired(nowMillis);
    ClaimBatchResult.Builder result = ClaimBatchResult.newBuilder();
    Holder holder = new Holder(batch.getEntryInstance(), batch.getEntryIncarnation());
    for (Claim claim : batch.getClaimsList()) {
      result.addResults(claim(claim, holder, nowMillis));
    }
    return result.build();
  }

  private ClaimResult claim(Claim claim, Holder holder, long nowMillis) {
    long creationMillis = IdempotencyKeyTime.creationMillis(claim.getKey());
    if (creationMillis <= nowMillis - RETENTION_MILLIS
        || creationMillis > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
      return newResult(ClaimResult.Status.EXPIRED);
    }
    ClaimKey key = new ClaimKey(claim.getTeam(), claim.getKey());
    ClaimRecord existing = records.get(key);
    if (existing == null) {
      return claimNewKey(key, creationMillis, claim, holder, nowMillis);
    }
    if (!existing.getFingerprint().equals(claim.getFingerprint())) {
      return newResult(ClaimResult.Status.FINGERPRINT_MISMATCH);
    }
    boolean sameClaim = existing.getClaimId().equals(claim.getClaimId());
    if (!existing.hasOutcome()) {
      return sameClaim
          ? newResult(ClaimResult.Status.GRANTED)
          : newResult(ClaimResult.Status.IN_PROGRESS).toBuilder()
              .setHolderInstance(existing.getEntryInstance())
              .build();
    }
    boolean notRun = existing.getOutcome().getKind() == Outcome.Kind.NOT_RUN;
    if (notRun && !sameClaim) {
      put(key, newRecord(key, claim, holder, nowMillis));
      return newResult(ClaimResult.Status.GRANTED);
    }
    return newResult(ClaimResult.Status.COMPLETED).toBuilder()
        .setOutcome(existing.getOutcome())
        .build();
  }

  private ClaimResult claimNewKey(
      ClaimKey key, long creationMillis, Claim claim, Holder holder, long nowMillis) {
    if (lostHolders.contains(holder)) {
      // The entry process was declared lost: a claim granted to it would never get an outcome.
      return newResult(ClaimResult.Status.FULL);
    }
    int count = claimCountByTeam.getOrDefault(key.team(), 0);
    if (count >= MAX_CLAIMS_PER_TEAM) {
      return newResult(ClaimResult.Status.FULL);
    }
    insert(key, creationMillis, newRecord(key, claim, holder, nowMillis));
    return newResult(ClaimResult.Status.GRANTED);
  }

  private void insert(ClaimKey key, long creationMillis, ClaimRecord claimRecord) {
    put(key, claimRecord);
    keysByCreationMillis.computeIfAbsent(creationMillis, k -> new ArrayList<>(1)).add(key);
    claimCountByTeam.merge(key.team(), 1, Integer::sum);
  }

  synchronized void recordOutcomes(OutcomeBatch batch) {
    for (OutcomeRecord outcome : batch.getRecordsList()) {
      ClaimKey key = new ClaimKey(outcome.getTeam(), outcome.getKey());
      ClaimRecord existing = records.get(key);
      if (existing != null && isHeldBy(existing, batch) && mayReplaceOutcome(existing)) {
        put(key, existing.toBuilder().setOutcome(outcome.getOutcome()).build());
        dropOldestBodies();
      }
    }
  }

  private void put(ClaimKey key, ClaimRecord claimRecord) {
    remove(key);
    records.put(key, claimRecord);
    int bodyBytes = claimRecord.getOutcome().getBody().size();
    if (bodyBytes > 0) {
      recordedBodies.add(new RecordedBody(claimRecord.getTimeMillis(), key));
      recordedBodyBytes += bodyBytes;
    }
  }

  private void remove(ClaimKey key) {
    ClaimRecord removed = records.remove(key);
    if (removed != null && recordedBodies.remove(new RecordedBody(removed.getTimeMillis(), key))) {
      recordedBodyBytes -= removed.getOutcome().getBody().size();
    }
  }

  private void dropOldestBodies() {
    while (recordedBodyBytes > MAX_BODY_BYTES) {
      ClaimKey oldest = recordedBodies.first().key();
      ClaimRecord claimRecord = records.get(oldest);
      if (claimRecord == null) {
        throw new IllegalStateException("no claim for a recorded body");
      }
      Outcome withoutBody =
          claimRecord.getOutcome().toBuilder().clearBody().setBodyDropped(true).build();
      put(oldest, claimRecord.toBuilder().setOutcome(withoutBody).build());
    }
  }

  private static boolean isHeldBy(ClaimRecord claimRecord, OutcomeBatch batch) {
    return claimRecord.getEntryInstance().equals(batch.getEntryInstance())
        && claimRecord.getEntryIncarnation() == batch.getEntryIncarnation();
  }

  /** An entry that was wrongly declared lost may replace "unknown" by the real outcome. */
  private static boolean mayReplaceOutcome(ClaimRecord claimRecord) {
    return !claimRecord.hasOutcome() || claimRecord.getOutcome().getKind() == Outcome.Kind.UNKNOWN;
  }

  synchronized void handleEntryLost(EntryLost lost) {
    Holder holder = new Holder(lost.getEntryInstance(), lost.getEntryIncarnation());
    lostHolders.add(holder);
    if (lostHolders.size() > MAX_LOST_ENTRIES) {
      lostHolders.remove(lostHolders.iterator().next());
    }
    Outcome unknown = Outcome.newBuilder().setKind(Outcome.Kind.UNKNOWN).build();
    records.replaceAll(
        (key, claimRecord) ->
            claimRecord.hasOutcome() || !holder.holds(claimRecord)
                ? claimRecord
                : claimRecord.toBuilder().setOutcome(unknown).build());
  }

  synchronized List<EntryLost> earlierHolders(String instance, long currentIncarnation) {
    Set<Long> earlierIncarnations = new TreeSet<>();
    for (ClaimRecord claimRecord : records.values()) {
      if (!claimRecord.hasOutcome()
          && claimRecord.getEntryInstance().equals(instance)
          && claimRecord.getEntryIncarnation() < currentIncarnation) {
        earlierIncarnations.add(claimRecord.getEntryIncarnation());
      }
    }
    return earlierIncarnations.stream()
        .map(incarnation -> toEntryLost(instance, incarnation))
        .toList();
  }

  private static EntryLost toEntryLost(String instance, long incarnation) {
    return EntryLost.newBuilder()
        .setEntryInstance(instance)
        .setEntryIncarnation(incarnation)
        .build();
  }

  private void removeExpired(long nowMillis) {
    Map<Long, List<ClaimKey>> expired =
        keysByCreationMillis.headMap(nowMillis - RETENTION_MILLIS, true);
    for (List<ClaimKey> keys : expired.values()) {
      for (ClaimKey key : keys) {
        remove(key);
        claimCountByTeam.merge(key.team(), -1, ClaimTable::sumOrRemove);
      }
    }
    expired.clear();
  }

  // Map.merge removes the mapping when the function returns null, which NullAway cannot express.
  @SuppressWarnings("NullAway")
  private static Integer sumOrRemove(Integer a, Integer b) {
    int sum = a + b;
    return sum == 0 ? null : Integer.valueOf(sum);
  }

  synchronized int size() {
    return records.size();
  }

  synchronized List<ClaimRecord> snapshot() {
    List<ClaimRecord> copy = new ArrayList<>(records.values());
    copy.sort(Comparator.comparing(ClaimRecord::getTeam).thenComparing(ClaimRecord::getKey));
    return copy;
  }

  synchronized List<EntryLost> snapshotLostEntries() {
    return lostHolders.stream()
        .map(holder -> toEntryLost(holder.instance(), holder.incarnation()))
        .toList();
  }

  synchronized void restore(List<ClaimRecord> snapshot, List<EntryLost> lostEntries) {
    records.clear();
    keysByCreationMillis.clear();
    claimCountByTeam.clear();
    lostHolders.clear();
    recordedBodies.clear();
    recordedBodyBytes = 0;
    for (EntryLost lost : lostEntries) {
      lostHolders.add(new Holder(lost.getEntryInstance(), lost.getEntryIncarnation()));
    }
    for (ClaimRecord claimRecord : snapshot) {
      insert(
          new ClaimKey(claimRecord.getTeam(), claimRecord.getKey()),
          IdempotencyKeyTime.creationMillis(claimRecord.getKey()),
          claimRecord);
    }
  }

  private static ClaimRecord newRecord(ClaimKey key, Claim claim, Holder holder, long nowMillis) {
    ByteString fingerprint = claim.getFingerprint();
    return ClaimRecord.newBuilder()
        .setTeam(key.team())
        .setKey(key.key())
        .setFingerprint(fingerprint)
        .setClaimId(claim.getClaimId())
        .setEntryInstance(holder.instance())
        .setEntryIncarnation(holder.incarnation())
        .setTimeMillis(nowMillis)
        .build();
  }

  private static ClaimResult newResult(ClaimResult.Status status) {
    return ClaimResult.newBuilder().setStatus(status).build();
  }

  private record ClaimKey(String team, String key) {
    ClaimKey {
      requireNonNull(team, "team is null");
      requireNonNull(key, "key is null");
    }
  }

  /** A claim with a recorded body, by the time of the claim. */
  private record RecordedBody(long claimMillis, ClaimKey key) {

    static final Comparator<RecordedBody> OLDEST_FIRST =
        Comparator.comparingLong(RecordedBody::claimMillis)
            .thenComparing(body -> body.key().team())
            .thenComparing(body -> body.key().key());
  }

  private record Holder(String instance, long incarnation) {

    boolean holds(ClaimRecord claimRecord) {
      return claimRecord.getEntryInstance().equals(instance)
          && claimRecord.getEntryIncarnation() == incarnation;
    }
  }
}
