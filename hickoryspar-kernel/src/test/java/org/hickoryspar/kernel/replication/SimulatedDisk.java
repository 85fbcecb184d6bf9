package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.protocol.LogEntry;

/** A disk that keeps synced writes, and any part of the others, when its process is killed. */
final class SimulatedDisk {

  private HardState hardState;
  private Optional<Snapshot> snapshot = Optional.empty();
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<StorageWrite> unsynced = new ArrayList<>();

  SimulatedDisk(HardState hardState, List<LogEntry> first) {
    this.hardState = hardState;
    entries.addAll(first);
  }

  void write(StorageWrite write) {
    unsynced.add(write);
  }

  /** Syncs the writes up to a sequence number. */
  void sync(long sequence) {
    while (!unsynced.isEmpty() && unsynced.get(0).sequence() <= sequence) {
      apply(unsynced.remove(0), Integer.MAX_VALUE);
    }
  }

  /** Keeps a random part of what was not synced: term and vote first, then a prefix of the log. */
  void crash(RandomGenerator random) {
    if (!unsynced.isEmpty() && random.nextBoolean()) {
      int batch = random.nextInt(unsynced.size());
      unsynced.subList(0, batch + 1).forEach(w -> w.hardState().ifPresent(s -> hardState = s));
    }
    int whole = random.nextInt(unsynced.size() + 1);
    HardState newest = hardState;
    for (int i = 0; i < whole; i++) {
      apply(unsynced.get(i), Integer.MAX_VALUE);
    }
    if (whole < unsynced.size() && !unsynced.get(whole).entries().isEmpty()) {
      apply(unsynced.get(whole), random.nextInt(unsynced.get(whole).entries().size()));
    }
    if (newest.term() > hardState.term()) {
      hardState = newest;
    }
    unsynced.clear();
  }

  RecoveredState recover() {
    return new RecoveredState(hardState, snapshot, entries);
  }

  private void apply(StorageWrite write, int maxEntries) {
    write.hardState().ifPresent(state -> hardState = state);
    write.snapshot().ifPresent(state -> snapshot = Optional.of(state));
    if (write.replacesLog()) {
      entries.clear();
    }
    entries.removeIf(e -> write.truncateFrom() > 0 && e.getIndex() >= write.truncateFrom());
    entries.removeIf(e -> e.getIndex() <= write.compactTo());
    entries.addAll(write.entries().subList(0, Math.min(maxEntries, write.entries().size())));
  }
}
