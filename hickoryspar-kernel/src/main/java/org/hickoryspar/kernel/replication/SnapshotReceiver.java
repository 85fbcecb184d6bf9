package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.hickoryspar.protocol.SnapshotChunk;

/** Assembles a snapshot from its chunks. */
final class SnapshotReceiver {

  private long lastIndex;
  private long lastTerm;
  private int checksum;
  private ByteString received = ByteString.EMPTY;

  /**
   * Appends a chunk if it is the next one; a chunk of another snapshot discards the earlier chunks.
   * Returns the snapshot once it is complete and its checksum is correct.
   */
  Optional<Snapshot> accept(SnapshotChunk chunk) {
    if (chunk.getLastIndex() != lastIndex
        || chunk.getLastTerm() != lastTerm
        || chunk.getChecksum() != checksum) {
      lastIndex = chunk.getLastIndex();
      lastTerm = chunk.getLastTerm();
      checksum = chunk.getChecksum();
      received = ByteString.EMPTY;
    }
    if (chunk.getOffsetBytes() != received.size()) {
      return Optional.empty();
    }
    received = received.concat(chunk.getData());
    if (received.size() < chunk.getTotalBytes()) {
      return Optional.empty();
    }
    Snapshot snapshot = new Snapshot(lastIndex, lastTerm, chunk.getMembership(), received);
    received = ByteString.EMPTY;
    return snapshot.checksum() == checksum ? Optional.of(snapshot) : Optional.empty();
  }

  long nextOffsetBytes() {
    return received.size();
  }
}
