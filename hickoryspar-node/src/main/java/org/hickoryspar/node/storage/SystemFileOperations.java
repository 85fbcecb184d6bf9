package org.hickoryspar.node.storage;

import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** File operations on the file system of the operating system. */
public final class SystemFileOperations implements FileOperations {

  @Override
  public void createFolder(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public List<Path> list(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.sorted().toList();
    }
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public byte[] read(Path file, long offsetBytes, int lengthBytes) throws IOException {
    byte[] bytes = new byte[lengthBytes];
    try (RandomAccessFile input = new RandomAccessFile(file.toFile(), "r")) {
      input.seek(offsetBytes);
      input.readFully(bytes);
    }
    return bytes;
  }

  @Override
  public OutputFile openForAppend(Path file) throws IOException {
    return new ChannelFile(
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND));
  }

  @Override
  public void truncate(Path file, long sizeBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      channel.truncate(sizeBytes);
    }
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public Closeable lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = tryLock(channel);
    if (lock == null) {
      channel.close();
      throw new IOException("the lock is already held: " + file);
    }
    // Closing the channel releases the lock.
    return channel;
  }

  private static @Nullable FileLock tryLock(FileChannel channel) throws IOException {
    try {
      return channel.tryLock();
    } catch (OverlappingFileLockException e) {
      return null;
    }
  }

  private record ChannelFile(FileChannel channel) implements OutputFile {

    @Override
    public void write(ByteBuffer bytes) throws IOException {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
