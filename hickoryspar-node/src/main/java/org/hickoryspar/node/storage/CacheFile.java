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
 * A file with a checksum for data that is useful after a restart but may be lost at any time: a
 * missing or damaged file is read as empty. The file may be in the data folder of a replica.
 */
public final class CacheFile {

  /**
   * Suffix of the file name. Files with this suffix are ignored when a data folder is checked for
   * being empty.
   */
  public static final String SUFFIX = ".cache";

  private static final int CHECKSUM_BYTES = Long.BYTES;

  private final FileOperations files;
  private final Path file;

  /**
   * Creates an accessor for a cache file without reading or writing it.
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
   * Reads the contents and verifies their checksum; logs a damaged file.
   *
   * @return the contents that were written last, or empty if the file is missing, unreadable or
   *     damaged
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
      // The file does not exist before the first write.
    }
    return Optional.empty();
  }

  /**
   * Replaces the contents atomically.
   *
   * @param contents the new contents
   * @throws IOException if the contents cannot be written or synced; the file may then still have
   *     the previous contents
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
