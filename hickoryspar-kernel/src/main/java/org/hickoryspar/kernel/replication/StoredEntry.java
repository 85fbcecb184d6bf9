package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;

/**
 * An entry of the log whose contents are in memory or on the disk. A log that was written before a
 * restart may be larger than the memory; its large entries are read again when they are needed.
 */
public interface StoredEntry {

  /**
   * Returns the log index.
   *
   * @return the index
   */
  long index();

  /**
   * Returns the term in which the entry was appended.
   *
   * @return the term
   */
  long term();

  /**
   * Returns the size of the serialized entry.
   *
   * @return the size in bytes
   */
  long sizeBytes();

  /**
   * Returns the membership that the entry introduces.
   *
   * @return the membership, or empty for any other entry
   */
  Optional<Membership> membership();

  /**
   * Returns the whole entry. May be called by any thread.
   *
   * @return the entry
   * @throws java.io.UncheckedIOException if it cannot be read from the disk
   */
  LogEntry read();

  /**
   * Returns an entry that is in memory.
   *
   * @param entry the entry
   * @return a view of the entry
   */
  static StoredEntry of(LogEntry entry) {
    return new InMemory(requireNonNull(entry, "entry is null"));
  }

  /** An entry in memory. */
  record InMemory(LogEntry entry) implements StoredEntry {

    @Override
    public long index() {
      return entry.getIndex();
    }

    @Override
    public long term() {
      return entry.getTerm();
    }

    @Override
    public long sizeBytes() {
      return entry.getSerializedSize();
    }

    @Override
    public Optional<Membership> membership() {
      return entry.hasMembership() ? Optional.of(entry.getMembership()) : Optional.empty();
    }

    @Override
    public LogEntry read() {
      return entry;
    }
  }
}
