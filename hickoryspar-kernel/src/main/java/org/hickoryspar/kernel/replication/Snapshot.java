package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.hickoryspar.protocol.Membership;

/**
 * State of the state machine after all entries up to an index were applied.
 *
 * @param lastIndex index of the last entry that is included
 * @param lastTerm term of that entry
 * @param membership membership in effect at that entry
 * @param data the serialized state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, ByteString data) {

  /**
   * Rejects a snapshot without membership or data.
   *
   * @throws NullPointerException if {@code membership} or {@code data} is null
   */
  public Snapshot {
    requireNonNull(membership, "membership is null");
    requireNonNull(data, "data is null");
  }

  /**
   * Computes the CRC-32C checksum of the data.
   *
   * @return the checksum, computed on each call
   */
  public int checksum() {
    CRC32C crc = new CRC32C();
    for (ByteBuffer part : data.asReadOnlyByteBufferList()) {
      crc.update(part);
    }
    return (int) crc.getValue();
  }
}
