package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.protocol.LogEntry;

/** A disk that keeps the synced writes and a random part of the others when its process crashes. */
final class SimulatedDisk {

  private HardState hardState;
  private Optional<Snapshot> snapshot = Optional.empty();
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<StorageWrite> unsyncedWrites = new ArrayList<>();

  SimulatedDisk(HardState hardState, List<LogEntry> initialEntries) {
    this.hardState = hardState;
    entries.addAll(initialEntries);
  }

  void write(StorageWrite write) {
    unsyncedWrites.add(write);
  }

  /** Syncs the writes up to a sequence number. */
  void sync(long sequence) {
    while (!unsyncedWrites.isEmpty() && unsyncedWrites.get(0).sequence() <= sequence) {
      apply(unsyncedWrites.remove(0), Integer.MAX_VALUE);
    }
  }

  /** Keeps a random part of the unsynced writes: term and vote first, then a prefix of the log. */
  void crash(RandomGenerator random) {
    if (!unsyncedWrites.isEmpty() && random.nextBoolean()) {
      int lastHardStateWrite = random.nextInt(unsyncedWrites.size());
      unsyncedWrites
          .subList(0, lastHardStateWrite + 1)
          .forEach(w -> w.hardState().ifPresent(s -> hardState = s));
    }
    int fullyAppliedCount = random.nextInt(unsyncedWrites.size() + 1);
    HardState newestHardState = hardState;
    for (int i = 0; i < fullyAppliedCount; i++) {
      apply(unsyncedWrites.get(i), Integer.MAX_VALUE);
    }
    if (fullyAppliedCount < unsyncedWrites.size()
        && !unsyncedWrites.get(fullyAppliedCount).entries().isEmpty()) {
      apply(
          unsyncedWrites.get(fullyAppliedCount),
          random.nextInt(unsyncedWrites.get(fullyAppliedCount).entries().size()));
    }
    if (newestHardState.term() > hardState.term()) {
      hardState = newestHardState;
    }
    unsyncedWrites.clear();
  }

  RecoveredState recover() {
    return RecoveredState.of(hardState, snapshot, entries);
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
