package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import org.hickoryspar.node.concurrent.PeriodicTask;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.storage.CacheFile;
import org.hickoryspar.protocol.MinionReports;

/**
 * Saves the registry of minions to the disk. After a restart of all control daemons, the leader can
 * then contact the minions immediately and need not wait for their heartbeats. Writes on a thread
 * of its own, which may block on the disk.
 */
public final class MinionRegistryStore implements AutoCloseable {

  private static final long WRITE_INTERVAL_MILLIS = 1_000;

  private final MinionRegistry registry;
  private final CacheFile file;
  private final PeriodicTask writer =
      new PeriodicTask("registry", WRITE_INTERVAL_MILLIS, this::writeIfChanged);

  /**
   * Creates a store that is not started.
   *
   * @param registry the registry
   * @param file file to save the registry to
   */
  public MinionRegistryStore(MinionRegistry registry, CacheFile file) {
    this.registry = requireNonNull(registry, "registry is null");
    this.file = requireNonNull(file, "file is null");
  }

  /** Restores the registry from the file and starts to save changes at a fixed interval. */
  public void start() {
    file.read().ifPresent(this::restore);
    writer.start();
  }

  private void restore(byte[] contents) {
    try {
      registry.restore(MinionReports.parseFrom(contents));
    } catch (InvalidProtocolBufferException e) {
      EventLogger.log(DispatchLogEvent.REGISTRY_NOT_READ, e.getMessage());
    }
  }

  private void writeIfChanged() {
    registry.snapshotIfChanged().ifPresent(this::write);
  }

  private void write(MinionReports reports) {
    try {
      file.write(reports.toByteArray());
    } catch (IOException e) {
      EventLogger.log(DispatchLogEvent.REGISTRY_NOT_WRITTEN, e.getMessage());
    }
  }

  @Override
  public void close() {
    writer.close();
  }
}
