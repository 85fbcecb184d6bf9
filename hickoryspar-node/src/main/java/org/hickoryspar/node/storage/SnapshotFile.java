package org.hickoryspar.node.storage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.replication.Snapshot;
import org.hickoryspar.protocol.SnapshotChunk;

/**
 * Snapshot files: length of the description (4 bytes), its CRC-32C (4), the description as a {@link
 * SnapshotChunk} without data, the data, to which the checksum in the description belongs.
 */
final class SnapshotFile {

  private static final String PREFIX = "snapshot-";
  private static final int HEADER_BYTES = 8;

  private SnapshotFile() {}

  static boolean isSnapshot(Path file) {
    return String.valueOf(file.getFileName()).startsWith(PREFIX);
  }

  static Path write(FileOperations files, Path folder, Snapshot snapshot) throws IOException {
    byte[] description =
        SnapshotChunk.newBuilder()
            .setLastIndex(snapshot.lastIndex())
            .setLastTerm(snapshot.lastTerm())
            .setTotalBytes(snapshot.data().size())
            .setMembership(snapshot.membership())
            .setChecksum(snapshot.checksum())
            .build()
            .toByteArray();
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES + description.length);
    header.putInt(description.length);
    header.putInt(RecordFormat.checksum(description, 0, description.length)).put(description);
    List<ByteBuffer> parts = new ArrayList<>();
    parts.add(header.flip());
    parts.addAll(snapshot.data().asReadOnlyByteBufferList());
    Path file = folder.resolve(String.format("%s%020d", PREFIX, snapshot.lastIndex()));
    AtomicFile.write(files, file, parts);
    return file;
  }

  static Snapshot read(FileOperations files, Path file) throws IOException {
    byte[] bytes = files.read(file);
    int length = bytes.length < HEADER_BYTES ? -1 : ByteBuffer.wrap(bytes).getInt();
    if (length < 0
        || length > bytes.length - HEADER_BYTES
        || ByteBuffer.wrap(bytes).getInt(4) != RecordFormat.checksum(bytes, HEADER_BYTES, length)) {
      throw new DamagedFileException(file, 0, "wrong checksum of the description");
    }
    SnapshotChunk description = parse(file, bytes, length);
    int from = HEADER_BYTES + length;
    ByteString data = UnsafeByteOperations.unsafeWrap(bytes, from, bytes.length - from);
    Snapshot snapshot =
        new Snapshot(
            description.getLastIndex(),
            description.getLastTerm(),
            description.getMembership(),
            data);
    if (data.size() != description.getTotalBytes()
        || snapshot.checksum() != description.getChecksum()) {
      throw new DamagedFileException(file, from, "wrong checksum of the data");
    }
    return snapshot;
  }

  private static SnapshotChunk parse(Path file, byte[] bytes, int length) throws IOException {
    try {
      return SnapshotChunk.parser().parseFrom(bytes, HEADER_BYTES, length);
    } catch (InvalidProtocolBufferException e) {
      throw new DamagedFileException(file, HEADER_BYTES, "description cannot be parsed");
    }
  }
}
