package org.hickoryspar.node.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Tells that a file does not hold what was written to it. */
public final class DamagedFileException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception that names the place.
   *
   * @param file the file
   * @param offsetBytes where the damaged part begins
   * @param found what is wrong there
   */
  public DamagedFileException(Path file, long offsetBytes, String found) {
    super(file + " is damaged at offset " + offsetBytes + ": " + found);
  }
}
