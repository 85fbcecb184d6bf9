package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.LogEntry;

/**
 * A change of the durable state of a replica. The parts take effect in the order of the components;
 * writes take effect in the order of their sequence numbers.
 *
 * @param sequence sequence number of the write, one more than that of the previous write
 * @param hardState new term and vote, if they changed
 * @param snapshot snapshot to store, if any
 * @param replacesLog whether the snapshot replaces the whole log
 * @param compactTo highest index that may be dropped from the start of the log, 0 for none
 * @param truncateFrom lowest index to remove from the end of the log, 0 for none
 * @param entries entries to append
 */
public record StorageWrite(
    long sequence,
    Optional<HardState> hardState,
    Optional<Snapshot> snapshot,
    boolean replacesLog,
    long compactTo,
    long truncateFrom,
    List<LogEntry> entries) {

  /**
   * Copies the entries.
   *
   * @throws NullPointerException if a component or an entry is null
   */
  public StorageWrite {
    requireNonNull(hardState, "hardState is null");
    requireNonNull(snapshot, "snapshot is null");
    entries = List.copyOf(entries);
  }
}
