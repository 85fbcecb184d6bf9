package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.storage.CacheFile;
import org.hickoryspar.protocol.MinionReports;

/**
 * Keeps on disk where minions are, so that a leader can ask them right after all control daemons
 * have been restarted, and need not wait for their heartbeats. Its thread may wait for the disk.
 */
public final class MinionRegistryStore implements AutoCloseable {

  private static final long WRITE_INTERVAL_MILLIS = 1_000;

  private final MinionRegistry registry;
  private final CacheFile file;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread writer = new Thread(task, "registry");
            writer.setDaemon(true);
            return writer;
          });

  /**
   * Creates a keeper that does not run yet.
   *
   * @param registry the registry
   * @param file where it is kept
   */
  public MinionRegistryStore(MinionRegistry registry, CacheFile file) {
    this.registry = requireNonNull(registry, "registry is null");
    this.file = requireNonNull(file, "file is null");
  }

  /** Restores the registry and begins to keep it. */
  public void start() {
    file.read().ifPresent(this::restore);
    var unused =
        executor.scheduleWithFixedDelay(
            this::write, WRITE_INTERVAL_MILLIS, WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void restore(byte[] contents) {
    try {
      registry.restore(MinionReports.parseFrom(contents));
    } catch (InvalidProtocolBufferException e) {
      EventLogger.log(DispatchLogEvent.REGISTRY_NOT_READ, e.getMessage());
    }
  }

  private void write() {
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
    executor.shutdownNow();
  }
}
