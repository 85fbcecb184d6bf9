package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.LogEntry;

/**
 * One change of what a replica keeps on its disk. The parts take effect in the order of the
 * components; writes take effect in the order of their sequence.
 *
 * @param sequence number of the write, increasing by one
 * @param hardState new term and vote, if they changed
 * @param snapshot snapshot to keep, if any
 * @param replacesLog whether the snapshot replaces the whole log
 * @param compactTo highest index that may be dropped from the log, 0 for none
 * @param truncateFrom first index to remove from the end of the log, 0 for none
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
   * Checks and copies the components.
   *
   * @throws NullPointerException if a component is null
   */
  public StorageWrite {
    requireNonNull(hardState, "hardState is null");
    requireNonNull(snapshot, "snapshot is null");
    entries = List.copyOf(entries);
  }
}
