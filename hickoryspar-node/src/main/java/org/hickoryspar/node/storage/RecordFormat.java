package org.hickoryspar.node.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.hickoryspar.protocol.LogEntry;

/**
 * Format of a log record: length of the payload (4 bytes), log index (8), CRC-32C of the payload
 * (4), CRC-32C of these 16 bytes (4), payload.
 *
 * <p>The header has its own checksum because a damaged length could make a record look incomplete,
 * and the acknowledged records after it would be truncated as an interrupted write.
 */
final class RecordFormat {

  static final int HEADER_BYTES = 20;

  private RecordFormat() {}

  static byte[] encode(LogEntry entry) {
    byte[] payload = entry.toByteArray();
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    record
        .putInt(payload.length)
        .putLong(entry.getIndex())
        .putInt(checksum(payload, 0, payload.length));
    record.putInt(checksum(record.array(), 0, 16)).put(payload);
    return record.array();
  }

  /**
   * Decodes all records of a segment.
   *
   * @param isLast whether this is the last segment, which may end with an incomplete record
   */
  static DecodedSegment decode(Path file, byte[] bytes, long firstIndex, boolean isLast)
      throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    List<Integer> offsets = new ArrayList<>();
    int offset = 0;
    while (offset < bytes.length) {
      int remainingBytes = bytes.length - offset;
      int payloadBytes =
          remainingBytes < HEADER_BYTES ? -1 : readPayloadLength(file, bytes, offset);
      if (payloadBytes < 0 || remainingBytes - HEADER_BYTES < payloadBytes) {
        if (!isLast) {
          throw new DamagedFileException(
              file, offset, "incomplete record in a segment that is not the last one");
        }
        break;
      }
      LogEntry entry = readPayload(file, bytes, offset, payloadBytes);
      if (entry.getIndex() != firstIndex + entries.size()) {
        throw new DamagedFileException(
            file,
            offset,
            "expected index " + (firstIndex + entries.size()) + ", found " + entry.getIndex());
      }
      entries.add(entry);
      offsets.add(offset);
      offset += HEADER_BYTES + payloadBytes;
    }
    return new DecodedSegment(entries, offsets, offset);
  }

  private static int readPayloadLength(Path file, byte[] bytes, int offset) throws IOException {
    ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = header.getInt();
    header.getLong();
    header.getInt();
    if (header.getInt() != checksum(bytes, offset, 16)) {
      throw new DamagedFileException(file, offset, "checksum mismatch in a record header");
    }
    return length;
  }

  private static LogEntry readPayload(Path file, byte[] bytes, int offset, int length)
      throws IOException {
    int expectedChecksum = ByteBuffer.wrap(bytes, offset, HEADER_BYTES).getInt(offset + 12);
    if (checksum(bytes, offset + HEADER_BYTES, length) != expectedChecksum) {
      throw new DamagedFileException(file, offset, "checksum mismatch in a record");
    }
    try {
      return LogEntry.parser().parseFrom(bytes, offset + HEADER_BYTES, length);
    } catch (InvalidProtocolBufferException e) {
      throw new DamagedFileException(
          file, offset, "the record cannot be parsed: " + e.getMessage());
    }
  }

  static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  /**
   * The complete records of a segment.
   *
   * @param entries the entries
   * @param offsets offset of each record in bytes
   * @param validBytes offset of the end of the last complete record
   */
  record DecodedSegment(List<LogEntry> entries, List<Integer> offsets, int validBytes) {}
}
