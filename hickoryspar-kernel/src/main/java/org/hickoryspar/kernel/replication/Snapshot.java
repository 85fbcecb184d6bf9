package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.hickoryspar.protocol.Membership;

/**
 * The state of the state machine after all entries up to an index.
 *
 * @param lastIndex index of the last entry that is included
 * @param lastTerm term of that entry
 * @param membership members as of that entry
 * @param data the state as bytes
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, ByteString data) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public Snapshot {
    requireNonNull(membership, "membership is null");
    requireNonNull(data, "data is null");
  }

  /**
   * Computes the CRC-32C of the data.
   *
   * @return the checksum
   */
  public int checksum() {
    CRC32C crc = new CRC32C();
    for (ByteBuffer part : data.asReadOnlyByteBufferList()) {
      crc.update(part);
    }
    return (int) crc.getValue();
  }
}
