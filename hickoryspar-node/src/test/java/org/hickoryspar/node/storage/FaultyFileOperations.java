package org.hickoryspar.node.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** File operations with injected faults. */
public final class FaultyFileOperations implements FileOperations {

  /** Kind of an injected fault. */
  public enum Fault {
    /** The process is killed: half of a write is executed and all later operations fail. */
    KILL,
    /** One sync fails; later syncs succeed although the data is not written again. */
    FAILED_SYNC,
    /** Every write fails. */
    DISK_FULL
  }

  private final FileOperations files = new SystemFileOperations();
  private Fault fault = Fault.KILL;
  private int remainingOperations = Integer.MAX_VALUE;
  private volatile int syncs;
  private boolean fired;

  /**
   * Injects a fault into the next modifying operations.
   *
   * @param newFault kind of the fault
   * @param operations number of modifying operations that succeed before the fault
   */
  public synchronized void failAfter(Fault newFault, int operations) {
    fault = newFault;
    remainingOperations = operations;
    fired = false;
  }

  /**
   * Returns whether the fault has occurred.
   *
   * @return true once an operation has failed
   */
  public synchronized boolean hasFired() {
    return fired;
  }

  /**
   * Returns the number of requested syncs of files.
   *
   * @return the number
   */
  public int syncs() {
    return syncs;
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    files.createFolder(folder);
  }

  @Override
  public List<Path> list(Path folder) throws IOException {
    return files.list(folder);
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return files.read(file);
  }

  @Override
  public byte[] read(Path file, long offsetBytes, int lengthBytes) throws IOException {
    return files.read(file, offsetBytes, lengthBytes);
  }

  @Override
  public OutputFile openForAppend(Path file) throws IOException {
    checkFault(false, false);
    return new Output(files.openForAppend(file));
  }

  @Override
  public void truncate(Path file, long sizeBytes) throws IOException {
    checkFault(false, false);
    files.truncate(file, sizeBytes);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    checkFault(false, false);
    files.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    checkFault(false, false);
    files.delete(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    checkFault(false, true);
    files.syncFolder(folder);
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    return files.lock(file);
  }

  private synchronized void checkFault(boolean write, boolean sync) throws IOException {
    boolean isDue = --remainingOperations < 0;
    boolean fails =
        switch (fault) {
          case KILL -> isDue;
          case FAILED_SYNC -> isDue && sync && !fired;
          case DISK_FULL -> isDue && write;
        };
    if (fails) {
      fired = true;
      throw new IOException(
          switch (fault) {
            case KILL -> "killed";
            case FAILED_SYNC -> "Input/output error";
            case DISK_FULL -> "No space left on device";
          });
    }
  }

  private final class Output implements OutputFile {

    private final OutputFile output;

    Output(OutputFile output) {
      this.output = output;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      ByteBuffer half = bytes.slice(bytes.position(), bytes.remaining() / 2);
      boolean firedBefore = hasFired();
      try {
        checkFault(true, false);
      } catch (IOException e) {
        if (!firedBefore) {
          output.write(half);
        }
        throw e;
      }
      output.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      syncs++;
      checkFault(false, true);
      output.sync();
    }

    @Override
    public void close() throws IOException {
      output.close();
    }
  }
}
