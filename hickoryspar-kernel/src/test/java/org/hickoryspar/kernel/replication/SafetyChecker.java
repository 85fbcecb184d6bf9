package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.protocol.LogEntry;

/**
 * Records the leaders, committed entries and reads of all replicas, and throws an {@link
 * AssertionError} as soon as one of them violates a safety property.
 */
final class SafetyChecker {

  private final Map<Long, String> leaderByTerm = new HashMap<>();
  private final List<LogEntry> committedEntries = new ArrayList<>();
  private final List<Long> stateHashByIndex = new ArrayList<>(List.of(0L));
  private long observedIndex;
  private long leaseReadCount;
  private long barrierReadCount;

  void recordLeader(long term, String replicaId) {
    String other = leaderByTerm.putIfAbsent(term, replicaId);
    check(other == null || other.equals(replicaId), "found two leaders in term " + term);
  }

  /** Records an entry that a replica applies and returns the hash of the state after it. */
  long recordApplied(LogEntry entry) {
    int index = (int) entry.getIndex();
    check(index <= committedEntries.size() + 1, "found a gap before entry " + index);
    if (index == committedEntries.size() + 1) {
      committedEntries.add(entry);
      long previousHash = stateHashByIndex.get(index - 1);
      stateHashByIndex.add(
          entry.hasCommand() ? 31 * previousHash + entry.getCommand().hashCode() : previousHash);
    }
    check(
        committedEntries.get(index - 1).equals(entry), "committed entry " + index + " was changed");
    return stateHashByIndex.get(index);
  }

  void checkState(long index, long stateHash) {
    check(stateHashByIndex.get((int) index) == stateHash, "wrong state at index " + index);
  }

  /** Records that a client has observed the effect of an entry, by an acknowledgement or a read. */
  void recordObserved(long index) {
    observedIndex = Math.max(observedIndex, index);
  }

  long observedIndex() {
    return observedIndex;
  }

  void checkLeaseRead(String replicaId, long appliedIndex) {
    leaseReadCount++;
    check(
        stateHash(appliedIndex) == stateHash(observedIndex) || appliedIndex >= observedIndex,
        replicaId + " read at index " + appliedIndex + " after " + observedIndex + " was observed");
    recordObserved(appliedIndex);
  }

  void checkBarrierRead(long appliedIndex, long observedBefore) {
    barrierReadCount++;
    check(
        stateHash(appliedIndex) == stateHash(observedBefore) || appliedIndex >= observedBefore,
        "read at index "
            + appliedIndex
            + " after a barrier, but "
            + observedBefore
            + " was observed");
  }

  long commandCount() {
    return committedEntries.stream().filter(LogEntry::hasCommand).count();
  }

  long leaseReadCount() {
    return leaseReadCount;
  }

  long barrierReadCount() {
    return barrierReadCount;
  }

  int termCount() {
    return leaderByTerm.size();
  }

  static void check(boolean condition, String message) {
    if (!condition) {
      throw new AssertionError(message);
    }
  }

  private long stateHash(long index) {
    return stateHashByIndex.get((int) index);
  }
}
