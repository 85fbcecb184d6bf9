package org.hickoryspar.node.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.hickoryspar.kernel.replication.HardState;

/**
 * Reads and writes the file with the term and the vote. Format: CRC-32C of the rest (4 bytes), term
 * (8), vote in UTF-8.
 */
final class HardStateFile {

  static final String NAME = "term";

  private HardStateFile() {}

  static void write(FileOperations files, Path folder, HardState state) throws IOException {
    byte[] vote = state.votedFor().getBytes(StandardCharsets.UTF_8);
    ByteBuffer bytes = ByteBuffer.allocate(12 + vote.length);
    bytes.putInt(0).putLong(state.term()).put(vote);
    bytes.putInt(0, RecordFormat.checksum(bytes.array(), 4, bytes.capacity() - 4));
    AtomicFile.write(files, folder.resolve(NAME), List.of(bytes.flip()));
  }

  static HardState read(FileOperations files, Path folder) throws IOException {
    Path file = folder.resolve(NAME);
    byte[] bytes = files.read(file);
    if (bytes.length < 12
        || ByteBuffer.wrap(bytes).getInt() != RecordFormat.checksum(bytes, 4, bytes.length - 4)) {
      throw new DamagedFileException(file, 0, "checksum mismatch");
    }
    return new HardState(
        ByteBuffer.wrap(bytes).getLong(4),
        new String(bytes, 12, bytes.length - 12, StandardCharsets.UTF_8));
  }
}
