package org.hickoryspar.kernel.replication;

import java.io.IOException;
import java.util.List;

/** Durable storage of one replica; used by one thread at a time. */
public interface LogStorage extends AutoCloseable {

  /**
   * Reads the stored state; called once, before the first write.
   *
   * @return term, vote, snapshot and entries
   * @throws IOException if the disk cannot be read or its contents are damaged
   */
  RecoveredState load() throws IOException;

  /**
   * Makes writes durable, in order. After a failure the storage must not be used again, because it
   * is unknown which part of the writes reached the disk.
   *
   * @param writes the writes
   * @throws IOException if a write or a sync failed
   */
  void write(List<StorageWrite> writes) throws IOException;

  @Override
  void close() throws IOException;
}
