package org.hickoryspar.node.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.replication.StoredEntry;
import org.hickoryspar.protocol.LogEntry;
import org.jspecify.annotations.Nullable;

/**
 * The log of a replica, split into segment files that are named after the index of their first
 * entry. Not thread-safe.
 */
final class SegmentedLog implements Closeable {

  /**
   * Size from which on the next append starts a new segment. It limits how much a restart rewrites,
   * which is the last segment.
   */
  static final long SEGMENT_BYTES = 8L << 20;

  /** Size from which on encoded records are written, so that a long batch is not held in memory. */
  private static final int WRITE_BUFFER_BYTES = 1 << 20;

  private static final String PREFIX = "log-";
  private static final String SUFFIX = ".segment";

  private final FileOperations files;
  private final Path folder;
  private final List<Segment> segments = new ArrayList<>();
  private FileOperations.@Nullable OutputFile output;
  private boolean unsynced;

  SegmentedLog(FileOperations files, Path folder) {
    this.files = files;
    this.folder = folder;
  }

  static boolean isSegment(Path file) {
    String name = String.valueOf(file.getFileName());
    return name.startsWith(PREFIX) && name.endsWith(SUFFIX);
  }

  /**
   * Reads all segments and rewrites the last one without an incomplete record at its end. Large
   * entries are not kept in memory.
   *
   * @param segmentFiles the segment files, sorted by index
   * @param snapshotIndex index of the last entry that the snapshot includes, 0 without a snapshot;
   *     the log must start at the next index or earlier
   * @throws DamagedFileException if a segment is damaged or missing
   */
  List<StoredEntry> load(List<Path> segmentFiles, long snapshotIndex) throws IOException {
    if (parseFirstIndex(segmentFiles.get(0)) > snapshotIndex + 1) {
      throw new DamagedFileException(segmentFiles.get(0), 0, "the preceding entries are missing");
    }
    List<StoredEntry> entries = new ArrayList<>();
    for (int i = 0; i < segmentFiles.size(); i++) {
      Path file = segmentFiles.get(i);
      boolean isLast = i == segmentFiles.size() - 1;
      long firstIndex = parseFirstIndex(file);
      byte[] bytes = files.read(file);
      if (i > 0 && firstIndex != nextIndex()) {
        if (isLast && bytes.length == 0 && firstIndex == snapshotIndex + 1) {
          // A reset was interrupted after it had created the new segment.
          reset(firstIndex);
          return List.of();
        }
        throw new DamagedFileException(file, 0, "the preceding entries are missing");
      }
      RecordFormat.DecodedSegment decoded = RecordFormat.decode(file, bytes, firstIndex, isLast);
      if (isLast) {
        rewrite(file, bytes, decoded.validBytes());
      }
      entries.addAll(SegmentEntry.listOf(files, file, decoded));
      segments.add(new Segment(file, firstIndex, decoded.offsets(), decoded.validBytes()));
    }
    return entries;
  }

  /**
   * Replaces the log with an empty one. The new segment is created before the last old one is
   * deleted, because a folder without segments counts as one that has lost its log.
   *
   * @param nextIndex index of the entry to be appended next
   */
  void reset(long nextIndex) throws IOException {
    closeOutput();
    if (segments.size() == 1 && nextIndex() == nextIndex && segments.get(0).offsets.isEmpty()) {
      return;
    }
    deleteSegmentsFrom(nextIndex, 0);
    createSegment(nextIndex);
    Segment newSegment = segments.remove(segments.size() - 1);
    deleteSegmentsFrom(0, 0);
    segments.add(newSegment);
    files.syncFolder(folder);
  }

  /** Appends entries without syncing them. */
  void append(List<LogEntry> entries) throws IOException {
    if (entries.isEmpty()) {
      return;
    }
    Segment segment = segments.get(segments.size() - 1);
    List<byte[]> records = new ArrayList<>();
    int sizeBytes = 0;
    for (LogEntry entry : entries) {
      if (segment.sizeBytes >= SEGMENT_BYTES) {
        write(segment, records, sizeBytes);
        sizeBytes = 0;
        segment = roll(entry.getIndex());
      } else if (sizeBytes >= WRITE_BUFFER_BYTES) {
        write(segment, records, sizeBytes);
        sizeBytes = 0;
      }
      byte[] record = RecordFormat.encode(entry);
      segment.offsets.add((int) segment.sizeBytes);
      segment.sizeBytes += record.length;
      sizeBytes += record.length;
      records.add(record);
    }
    write(segment, records, sizeBytes);
  }

  private void write(Segment segment, List<byte[]> records, int sizeBytes) throws IOException {
    if (records.isEmpty()) {
      return;
    }
    ByteBuffer buffer = ByteBuffer.allocate(sizeBytes);
    records.forEach(buffer::put);
    records.clear();
    unsynced = true;
    openOutput(segment).write(buffer.flip());
  }

  void sync() throws IOException {
    FileOperations.OutputFile current = output;
    if (unsynced && current != null) {
      current.sync();
    }
    unsynced = false;
  }

  /** Removes the entry at an index and all later entries. */
  void truncateFrom(long index) throws IOException {
    closeOutput();
    deleteSegmentsFrom(index, 1);
    files.syncFolder(folder);
    Segment segment = segments.get(segments.size() - 1);
    int remainingEntries = (int) (index - segment.firstIndex);
    if (remainingEntries < segment.offsets.size()) {
      segment.sizeBytes = segment.offsets.get(remainingEntries);
      segment.offsets.subList(remainingEntries, segment.offsets.size()).clear();
      files.truncate(segment.file, segment.sizeBytes);
      unsynced = true;
      openOutput(segment);
    }
  }

  /** Deletes the segments that contain only entries up to an index, but never the last segment. */
  void compactTo(long index) throws IOException {
    while (segments.size() > 1 && segments.get(1).firstIndex <= index + 1) {
      files.delete(segments.remove(0).file);
    }
    files.syncFolder(folder);
  }

  /**
   * Starts a new segment unless the last one is empty, so that a compaction can delete the old one.
   */
  void roll() throws IOException {
    Segment last = segments.get(segments.size() - 1);
    if (!last.offsets.isEmpty()) {
      roll(nextIndex());
    }
  }

  @Override
  public void close() throws IOException {
    closeOutput();
  }

  // A sync of the last segment may have failed before the restart. The page cache can then contain
  // records that are marked clean but are not on the disk, so that a later sync would not write
  // them. The complete records are therefore written to a new file, which is synced as a whole.
  private void rewrite(Path file, byte[] bytes, int validBytes) throws IOException {
    AtomicFile.write(files, file, List.of(ByteBuffer.wrap(bytes, 0, validBytes)));
  }

  // Deletes the newest segments first, so that a crash leaves a log without a gap.
  private void deleteSegmentsFrom(long index, int minSegments) throws IOException {
    while (segments.size() > minSegments && segments.get(segments.size() - 1).firstIndex >= index) {
      files.delete(segments.remove(segments.size() - 1).file);
    }
  }

  private long nextIndex() {
    Segment last = segments.get(segments.size() - 1);
    return last.firstIndex + last.offsets.size();
  }

  private Segment roll(long firstIndex) throws IOException {
    sync();
    closeOutput();
    return createSegment(firstIndex);
  }

  private Segment createSegment(long firstIndex) throws IOException {
    Path file = folder.resolve(String.format("%s%020d%s", PREFIX, firstIndex, SUFFIX));
    Segment segment = new Segment(file, firstIndex, new ArrayList<>(), 0);
    segments.add(segment);
    openOutput(segment);
    files.syncFolder(folder);
    return segment;
  }

  private FileOperations.OutputFile openOutput(Segment segment) throws IOException {
    FileOperations.OutputFile current = output;
    if (current == null) {
      current = files.openForAppend(segment.file);
      output = current;
    }
    return current;
  }

  private void closeOutput() throws IOException {
    FileOperations.OutputFile current = output;
    output = null;
    if (current != null) {
      current.close();
    }
  }

  private static long parseFirstIndex(Path file) throws IOException {
    String name = String.valueOf(file.getFileName());
    try {
      return Long.parseLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()));
    } catch (NumberFormatException e) {
      throw new DamagedFileException(file, 0, "the file name contains no log index");
    }
  }

  private static final class Segment {

    private final Path file;
    private final long firstIndex;
    private final List<Integer> offsets;
    private long sizeBytes;

    Segment(Path file, long firstIndex, List<Integer> offsets, long sizeBytes) {
      this.file = file;
      this.firstIndex = firstIndex;
      this.offsets = offsets;
      this.sizeBytes = sizeBytes;
    }
  }
}
