package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.LogEntry;

/**
 * What a replica reads from its disk when it starts.
 *
 * @param hardState term and vote
 * @param snapshot the newest snapshot, if any
 * @param entries the entries of the log in order; the first one directly follows the snapshot or
 *     precedes that place
 */
public record RecoveredState(
    HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /**
   * Checks and copies the components.
   *
   * @throws NullPointerException if a component is null
   */
  public RecoveredState {
    requireNonNull(hardState, "hardState is null");
    requireNonNull(snapshot, "snapshot is null");
    entries = List.copyOf(entries);
  }

  /**
   * Returns the state of a replica that has seen nothing.
   *
   * @return term 0 and an empty log
   */
  public static RecoveredState empty() {
    return new RecoveredState(new HardState(0, ""), Optional.empty(), List.of());
  }
}
