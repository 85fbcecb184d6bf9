package org.hickoryspar.node.faults;

import static java.util.Objects.requireNonNull;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickoryspar.node.storage.FileOperations;

/** File operations that delay syncs and fail writes as long as these faults are injected. */
final class FaultyFiles implements FileOperations {

  private final FileOperations files;
  private final Supplier<InjectedFaults> faults;

  FaultyFiles(FileOperations files, Supplier<InjectedFaults> faults) {
    this.files = requireNonNull(files, "files is null");
    this.faults = requireNonNull(faults, "faults is null");
  }

  private void failIfDiskFull() throws IOException {
    if (faults.get().diskFull()) {
      throw new IOException("No space left on device (injected)");
    }
  }

  private void delaySync() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(faults.get().syncDelayMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted during a sync", e);
    }
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    failIfDiskFull();
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
    failIfDiskFull();
    return new FaultyFile(files.openForAppend(file));
  }

  @Override
  public void truncate(Path file, long sizeBytes) throws IOException {
    files.truncate(file, sizeBytes);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    failIfDiskFull();
    files.rename(from, to);
  }

  @Override
  public void delete(Path file) throws IOException {
    files.delete(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    delaySync();
    files.syncFolder(folder);
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    return files.lock(file);
  }

  private final class FaultyFile implements OutputFile {

    private final OutputFile file;

    FaultyFile(OutputFile file) {
      this.file = file;
    }

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      FaultyFiles.this.failIfDiskFull();
      file.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      FaultyFiles.this.delaySync();
      file.sync();
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
