package org.hickoryspar.kernel.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;

/**
 * The entries of the log that a replica has not compacted, and the index up to which it is synced.
 */
final class EntryLog {

  private long baseIndex;
  private long baseTerm;
  private final ArrayList<StoredEntry> entries = new ArrayList<>();

  /** Position after each entry, in bytes of serialized entries since this object was created. */
  private final ArrayList<Long> endOffsets = new ArrayList<>();

  private long baseOffset;
  private final TreeMap<Long, Membership> memberships = new TreeMap<>();
  private long syncedIndex;
  private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();

  EntryLog(RecoveredState recovered) {
    memberships.put(0L, Membership.getDefaultInstance());
    List<StoredEntry> recoveredEntries = recovered.entries();
    recovered
        .snapshot()
        .ifPresent(
            snapshot -> {
              baseIndex = snapshot.lastIndex();
              baseTerm = snapshot.lastTerm();
              memberships.put(snapshot.lastIndex(), snapshot.membership());
            });
    if (!recoveredEntries.isEmpty() && recoveredEntries.get(0).index() <= baseIndex) {
      // Entries before the snapshot are retained for replicas that lag; the first one is the base.
      baseIndex = recoveredEntries.get(0).index();
      baseTerm = recoveredEntries.get(0).term();
      recoveredEntries = recoveredEntries.subList(1, recoveredEntries.size());
    }
    for (StoredEntry entry : recoveredEntries) {
      append(entry);
    }
    syncedIndex = lastIndex();
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
  }

  long syncedIndex() {
    return syncedIndex;
  }

  /** Returns the term of the entry at an index, or -1 if the log does not hold the entry. */
  long termAt(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    return index < baseIndex || index > lastIndex() ? -1 : entry(index).term();
  }

  StoredEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /** Returns the size of the entries that the log holds. */
  long sizeBytes() {
    return bytesAfter(baseIndex);
  }

  /** Returns the size of the entries after an index, which must not be below the base index. */
  long bytesAfter(long index) {
    return endOffset(lastIndex()) - endOffset(index);
  }

  /** Returns the lowest index after which the entries up to an index have at most a given size. */
  long lowestIndexWithin(long maxBytes, long toIndex) {
    long index = toIndex;
    while (index > baseIndex && endOffset(toIndex) - endOffset(index - 1) <= maxBytes) {
      index--;
    }
    return index;
  }

  private long endOffset(long index) {
    return index == baseIndex ? baseOffset : endOffsets.get((int) (index - baseIndex - 1));
  }

  /** Returns as many entries from an index on as the limits allow, but at least one. */
  List<LogEntry> slice(long fromIndex, int maxEntries, long maxBytes) {
    List<LogEntry> slice = new ArrayList<>();
    long sizeBytes = 0;
    for (long i = fromIndex; i <= lastIndex() && slice.size() < maxEntries; i++) {
      sizeBytes += entry(i).sizeBytes();
      if (!slice.isEmpty() && sizeBytes > maxBytes) {
        break;
      }
      slice.add(entry(i).read());
    }
    return slice;
  }

  void append(LogEntry entry) {
    append(StoredEntry.of(entry));
  }

  private void append(StoredEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalStateException(
          "expected entry " + (lastIndex() + 1) + ", found " + entry.index());
    }
    endOffsets.add(endOffset(lastIndex()) + entry.sizeBytes());
    entries.add(entry);
    entry.membership().ifPresent(membership -> memberships.put(entry.index(), membership));
  }

  void truncateFrom(long index) {
    int remainingEntries = (int) (index - baseIndex - 1);
    entries.subList(remainingEntries, entries.size()).clear();
    endOffsets.subList(remainingEntries, endOffsets.size()).clear();
    memberships.tailMap(index, true).clear();
    clampSyncedIndex(index - 1);
  }

  /** Replaces the whole log with a snapshot. */
  void reset(Snapshot snapshot) {
    entries.clear();
    endOffsets.clear();
    memberships.clear();
    baseIndex = snapshot.lastIndex();
    baseTerm = snapshot.lastTerm();
    memberships.put(baseIndex, snapshot.membership());
    clampSyncedIndex(0);
  }

  /** Drops the entries up to and including an index. */
  void compactTo(long index) {
    if (index <= baseIndex) {
      return;
    }
    baseTerm = termAt(index);
    baseOffset = endOffset(index);
    int droppedEntries = (int) (index - baseIndex);
    entries.subList(0, droppedEntries).clear();
    endOffsets.subList(0, droppedEntries).clear();
    baseIndex = index;
    memberships.headMap(memberships.floorKey(index), false).clear();
  }

  /** Returns the latest membership in the log, which takes effect before it is committed. */
  Membership membership() {
    return memberships.lastEntry().getValue();
  }

  /** Returns the index of the entry with the latest membership. */
  long membershipIndex() {
    return memberships.lastKey();
  }

  /** Returns the membership in effect at an index, which must not be below the base index. */
  Membership membershipAt(long index) {
    return memberships.floorEntry(index).getValue();
  }

  void recordWriteStarted(long sequence) {
    pendingWrites.addLast(new PendingWrite(sequence, lastIndex()));
  }

  void recordWritesSynced(long sequence) {
    while (!pendingWrites.isEmpty() && pendingWrites.peekFirst().sequence <= sequence) {
      syncedIndex = Math.max(syncedIndex, pendingWrites.removeFirst().lastIndex);
    }
  }

  // A pending write no longer counts for the indexes that a later write truncates, even if the same
  // entries are appended again after that: a crash between the two writes would lose them.
  private void clampSyncedIndex(long index) {
    syncedIndex = Math.min(syncedIndex, index);
    List<PendingWrite> clamped = new ArrayList<>();
    for (PendingWrite write : pendingWrites) {
      clamped.add(new PendingWrite(write.sequence, Math.min(write.lastIndex, index)));
    }
    pendingWrites.clear();
    pendingWrites.addAll(clamped);
  }

  private record PendingWrite(long sequence, long lastIndex) {}
}
