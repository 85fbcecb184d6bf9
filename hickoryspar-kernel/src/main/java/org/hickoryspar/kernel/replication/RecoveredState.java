package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.LogEntry;

/**
 * State that a replica reads from its disk when it starts.
 *
 * @param hardState term and vote
 * @param snapshot the latest snapshot, if any
 * @param entries consecutive log entries; the first one follows the snapshot directly or has a
 *     lower index
 */
public record RecoveredState(
    HardState hardState, Optional<Snapshot> snapshot, List<StoredEntry> entries) {

  /**
   * Copies the entries.
   *
   * @throws NullPointerException if a component or an entry is null
   */
  public RecoveredState {
    requireNonNull(hardState, "hardState is null");
    requireNonNull(snapshot, "snapshot is null");
    entries = List.copyOf(entries);
  }

  /**
   * Returns a state whose entries are in memory.
   *
   * @param hardState term and vote
   * @param snapshot the latest snapshot, if any
   * @param entries the log entries
   * @return the state
   */
  public static RecoveredState of(
      HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {
    return new RecoveredState(hardState, snapshot, entries.stream().map(StoredEntry::of).toList());
  }

  /**
   * Reads all entries.
   *
   * @return the entries, all of them in memory
   */
  public List<LogEntry> readEntries() {
    return entries.stream().map(StoredEntry::read).toList();
  }

  /**
   * Returns the state of a replica with an empty disk.
   *
   * @return term 0 without vote, no snapshot and an empty log
   */
  public static RecoveredState empty() {
    return new RecoveredState(new HardState(0, ""), Optional.empty(), List.of());
  }
}
