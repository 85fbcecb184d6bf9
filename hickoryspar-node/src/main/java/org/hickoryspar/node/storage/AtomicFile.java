package org.hickoryspar.node.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** Replaces files atomically: after a crash, a file has either its old or its new contents. */
final class AtomicFile {

  static final String TEMPORARY_SUFFIX = ".tmp";

  private AtomicFile() {}

  static void write(FileOperations files, Path file, List<ByteBuffer> parts) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
    files.delete(temporary);
    try (FileOperations.OutputFile output = files.openForAppend(temporary)) {
      for (ByteBuffer part : parts) {
        output.write(part);
      }
      output.sync();
    }
    files.rename(temporary, file);
    files.syncFolder(parent(file));
  }

  static Path parent(Path file) {
    Path parent = file.getParent();
    if (parent == null) {
      throw new IllegalArgumentException("expected a path with a folder, found " + file);
    }
    return parent;
  }
}
