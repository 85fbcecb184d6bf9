package org.hickoryspar.node.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** File operations that the storage uses; tests replace them to inject faults. */
public interface FileOperations {

  /**
   * Creates a folder and its parents if they do not exist.
   *
   * @param folder the folder
   * @throws IOException if it cannot be created
   */
  void createFolder(Path folder) throws IOException;

  /**
   * Lists the files of a folder.
   *
   * @param folder the folder
   * @return the files, sorted by name
   * @throws IOException if the folder cannot be read
   */
  List<Path> list(Path folder) throws IOException;

  /**
   * Reads a whole file.
   *
   * @param file the file
   * @return its contents
   * @throws IOException if the file cannot be read
   */
  byte[] read(Path file) throws IOException;

  /**
   * Reads a part of a file.
   *
   * @param file the file
   * @param offsetBytes offset of the first byte
   * @param lengthBytes number of bytes
   * @return the bytes
   * @throws IOException if the file cannot be read or is shorter
   */
  byte[] read(Path file, long offsetBytes, int lengthBytes) throws IOException;

  /**
   * Opens a file for appending; creates it if it does not exist.
   *
   * @param file the file
   * @return the open file
   * @throws IOException if it cannot be opened
   */
  OutputFile openForAppend(Path file) throws IOException;

  /**
   * Truncates a file without syncing it.
   *
   * @param file the file
   * @param sizeBytes its new size
   * @throws IOException if it cannot be truncated
   */
  void truncate(Path file, long sizeBytes) throws IOException;

  /**
   * Renames a file atomically and replaces the target.
   *
   * @param from the file
   * @param to its new path, in the same folder
   * @throws IOException if it cannot be renamed
   */
  void rename(Path from, Path to) throws IOException;

  /**
   * Deletes a file if it exists.
   *
   * @param file the file
   * @throws IOException if it cannot be deleted
   */
  void delete(Path file) throws IOException;

  /**
   * Syncs the entries of a folder, so that new, renamed and deleted files survive a crash.
   *
   * @param folder the folder
   * @throws IOException if the sync failed
   */
  void syncFolder(Path folder) throws IOException;

  /**
   * Locks a file against other processes and against this one; creates it if it does not exist.
   *
   * @param file the file
   * @return the lock, which is released when it is closed
   * @throws IOException if the lock is already held or the file cannot be created
   */
  Closeable lock(Path file) throws IOException;

  /** A file that is open for writing. */
  interface OutputFile extends Closeable {

    /**
     * Writes all remaining bytes.
     *
     * @param bytes the bytes
     * @throws IOException if they cannot be written completely
     */
    void write(ByteBuffer bytes) throws IOException;

    /**
     * Waits until all written bytes are on the disk. After a failure it is unknown which of them
     * are.
     *
     * @throws IOException if the sync failed
     */
    void sync() throws IOException;
  }
}
