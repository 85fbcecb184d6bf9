package org.hickoryspar.node.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Thrown when stored data is damaged or incomplete. */
public final class DamagedFileException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception whose message contains the location and the reason.
   *
   * @param file the file or folder
   * @param offsetBytes offset at which the damaged part begins
   * @param reason what is wrong at this offset
   */
  public DamagedFileException(Path file, long offsetBytes, String reason) {
    super(file + " is damaged at offset " + offsetBytes + ": " + reason);
  }
}
