package org.hickoryspar.node.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.replication.StoredEntry;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;

/**
 * A large entry that was in a segment when the log was loaded. It is read from the file when it is
 * needed, so that a log that exceeds the memory can be applied and then compacted.
 */
final class SegmentEntry implements StoredEntry {

  /** Size from which on an entry is left on the disk. */
  static final int LARGE_ENTRY_BYTES = 16 << 10;

  private final FileOperations files;
  private final Path file;
  private final long index;
  private final long term;
  private final long offsetBytes;
  private final int recordBytes;

  private SegmentEntry(
      FileOperations files, Path file, LogEntry entry, long offsetBytes, int recordBytes) {
    this.files = files;
    this.file = file;
    this.index = entry.getIndex();
    this.term = entry.getTerm();
    this.offsetBytes = offsetBytes;
    this.recordBytes = recordBytes;
  }

  /** Returns the entries of a segment; keeps the contents of small ones. */
  static List<StoredEntry> listOf(
      FileOperations files, Path file, RecordFormat.DecodedSegment segment) {
    List<StoredEntry> stored = new ArrayList<>(segment.entries().size());
    for (int i = 0; i < segment.entries().size(); i++) {
      LogEntry entry = segment.entries().get(i);
      int offset = segment.offsets().get(i);
      boolean isLast = i == segment.entries().size() - 1;
      int end = isLast ? segment.validBytes() : segment.offsets().get(i + 1);
      boolean isLarge = entry.getSerializedSize() >= LARGE_ENTRY_BYTES && !entry.hasMembership();
      stored.add(
          isLarge
              ? new SegmentEntry(files, file, entry, offset, end - offset)
              : StoredEntry.of(entry));
    }
    return stored;
  }

  @Override
  public long index() {
    return index;
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public long sizeBytes() {
    return recordBytes - (long) RecordFormat.HEADER_BYTES;
  }

  @Override
  public Optional<Membership> membership() {
    return Optional.empty();
  }

  @Override
  public LogEntry read() {
    try {
      byte[] recordContents = files.read(file, offsetBytes, recordBytes);
      return RecordFormat.decode(file, recordContents, index, false).entries().get(0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
