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
 * Reads and writes snapshot files. Format: length of the metadata (4 bytes), CRC-32C of the
 * metadata (4), metadata, data. The metadata is a {@link SnapshotChunk} without data that contains
 * the checksum of the data.
 */
final class SnapshotFile {

  private static final String PREFIX = "snapshot-";
  private static final int HEADER_BYTES = 8;

  private SnapshotFile() {}

  static boolean isSnapshot(Path file) {
    return String.valueOf(file.getFileName()).startsWith(PREFIX);
  }

  static Path write(FileOperations files, Path folder, Snapshot snapshot) throws IOException {
    byte[] metadata =
        SnapshotChunk.newBuilder()
            .setLastIndex(snapshot.lastIndex())
            .setLastTerm(snapshot.lastTerm())
            .setTotalBytes(snapshot.data().size())
            .setMembership(snapshot.membership())
            .setChecksum(snapshot.checksum())
            .build()
            .toByteArray();
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES + metadata.length);
    header.putInt(metadata.length);
    header.putInt(RecordFormat.checksum(metadata, 0, metadata.length)).put(metadata);
    List<ByteBuffer> parts = new ArrayList<>();
    parts.add(header.flip());
    parts.addAll(snapshot.data().asReadOnlyByteBufferList());
    Path file = folder.resolve(String.format("%s%020d", PREFIX, snapshot.lastIndex()));
    AtomicFile.write(files, file, parts);
    return file;
  }

  static Snapshot read(FileOperations files, Path file) throws IOException {
    byte[] bytes = files.read(file);
    int metadataBytes = bytes.length < HEADER_BYTES ? -1 : ByteBuffer.wrap(bytes).getInt();
    if (metadataBytes < 0
        || metadataBytes > bytes.length - HEADER_BYTES
        || ByteBuffer.wrap(bytes).getInt(4)
            != RecordFormat.checksum(bytes, HEADER_BYTES, metadataBytes)) {
      throw new DamagedFileException(file, 0, "checksum mismatch in the metadata");
    }
    SnapshotChunk metadata = parseMetadata(file, bytes, metadataBytes);
    int dataOffset = HEADER_BYTES + metadataBytes;
    ByteString data = UnsafeByteOperations.unsafeWrap(bytes, dataOffset, bytes.length - dataOffset);
    Snapshot snapshot =
        new Snapshot(
            metadata.getLastIndex(), metadata.getLastTerm(), metadata.getMembership(), data);
    if (data.size() != metadata.getTotalBytes() || snapshot.checksum() != metadata.getChecksum()) {
      throw new DamagedFileException(
          file, dataOffset, "the size or checksum of the data does not match the metadata");
    }
    return snapshot;
  }

  private static SnapshotChunk parseMetadata(Path file, byte[] bytes, int metadataBytes)
      throws IOException {
    try {
      return SnapshotChunk.parser().parseFrom(bytes, HEADER_BYTES, metadataBytes);
    } catch (InvalidProtocolBufferException e) {
      throw new DamagedFileException(file, HEADER_BYTES, "the metadata cannot be parsed");
    }
  }
}
