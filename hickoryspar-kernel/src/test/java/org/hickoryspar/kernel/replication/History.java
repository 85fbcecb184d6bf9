package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.protocol.LogEntry;

/** What all replicas have shown so far; throws as soon as something contradicts it. */
final class History {

  private final Map<Long, String> leaders = new HashMap<>();
  private final List<LogEntry> committed = new ArrayList<>();
  private final List<Long> states = new ArrayList<>(List.of(0L));
  private long seenIndex;
  private long leaseReads;
  private long barrierReads;

  void leads(long term, String replicaId) {
    String other = leaders.putIfAbsent(term, replicaId);
    check(other == null || other.equals(replicaId), "two leaders in term " + term);
  }

  /** Notes an entry that a replica applies and returns the state after it. */
  long applied(LogEntry entry) {
    int index = (int) entry.getIndex();
    check(index <= committed.size() + 1, "a gap before entry " + index);
    if (index == committed.size() + 1) {
      committed.add(entry);
      long before = states.get(index - 1);
      states.add(entry.hasCommand() ? 31 * before + entry.getCommand().hashCode() : before);
    }
    check(committed.get(index - 1).equals(entry), "committed entry " + index + " changed");
    return states.get(index);
  }

  void hasState(long index, long state) {
    check(states.get((int) index) == state, "wrong state at index " + index);
  }

  /** Notes that a client knows of an index. */
  void acknowledged(long index) {
    seenIndex = Math.max(seenIndex, index);
  }

  long seenIndex() {
    return seenIndex;
  }

  void leaseRead(String replicaId, long appliedIndex) {
    leaseReads++;
    check(
        state(appliedIndex) == state(seenIndex) || appliedIndex >= seenIndex,
        replicaId + " read index " + appliedIndex + " after " + seenIndex + " was seen");
    acknowledged(appliedIndex);
  }

  void barrierRead(long appliedIndex, long seenBefore) {
    barrierReads++;
    check(
        state(appliedIndex) == state(seenBefore) || appliedIndex >= seenBefore,
        "read index " + appliedIndex + " behind a barrier although " + seenBefore + " was seen");
  }

  long commands() {
    return committed.stream().filter(LogEntry::hasCommand).count();
  }

  long leaseReads() {
    return leaseReads;
  }

  long barrierReads() {
    return barrierReads;
  }

  int terms() {
    return leaders.size();
  }

  static void check(boolean holds, String failure) {
    if (!holds) {
      throw new AssertionError(failure);
    }
  }

  private long state(long index) {
    return states.get((int) index);
  }
}
