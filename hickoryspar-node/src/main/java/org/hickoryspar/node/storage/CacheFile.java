package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.hickoryspar.node.observability.EventLogger;

/**
 * A file whose contents help after a restart and may be lost at any time: what is missing or
 * damaged reads as empty. It may lie in the folder of a replica.
 */
public final class CacheFile {

  /** Names of such files end with this. */
  public static final String SUFFIX = ".cache";

  private static final int CHECKSUM_BYTES = Long.BYTES;

  private final FileOperations files;
  private final Path file;

  /**
   * Creates an access to a file; reads and writes nothing yet.
   *
   * @param files file operations
   * @param folder the folder
   * @param name name of the file without its suffix
   */
  public CacheFile(FileOperations files, Path folder, String name) {
    this.files = requireNonNull(files, "files is null");
    this.file = requireNonNull(folder, "folder is null").resolve(name + SUFFIX);
  }

  /**
   * Reads the contents.
   *
   * @return what was written last, or empty if there is nothing that can be used
   */
  public Optional<byte[]> read() {
    try {
      byte[] fileBytes = files.read(file);
      if (fileBytes.length >= CHECKSUM_BYTES) {
        byte[] contents = Arrays.copyOfRange(fileBytes, CHECKSUM_BYTES, fileBytes.length);
        if (ByteBuffer.wrap(fileBytes).getLong() == checksum(contents)) {
          return Optional.of(contents);
        }
      }
      EventLogger.log(StorageEvent.CACHE_DAMAGED, file);
    } catch (IOException e) {
      // The first start of this instance finds none.
    }
    return Optional.empty();
  }

  /**
   * Replaces the contents.
   *
   * @param contents the new contents
   * @throws IOException if they cannot be written; the old ones or none are there then
   */
  public void write(byte[] contents) throws IOException {
    ByteBuffer checksum = ByteBuffer.allocate(CHECKSUM_BYTES).putLong(checksum(contents)).flip();
    AtomicFile.write(files, file, List.of(checksum, ByteBuffer.wrap(contents)));
  }

  private static long checksum(byte[] contents) {
    CRC32C checksum = new CRC32C();
    checksum.update(contents);
    return checksum.getValue();
  }
}
