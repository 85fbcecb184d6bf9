package org.hickoryspar.node.faults;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.storage.FileOperations;
import org.hickoryspar.node.storage.SystemFileOperations;

/**
 * The clock, the files and the addresses of peers as a process sees them. They are those of the
 * system, unless the system property {@code hickoryspar.faults} names a file with faults; then the
 * file is read again while the process runs. Only tests set the property.
 */
public final class FaultInjection {

  /** Name of the system property. */
  public static final String PROPERTY = "hickoryspar.faults";

  private static final long POLL_MILLIS = 100;

  private final boolean enabled;
  private volatile InjectedFaults faults = InjectedFaults.NONE;

  private FaultInjection(boolean enabled) {
    this.enabled = enabled;
  }

  /**
   * Returns what the system property asks for.
   *
   * @return the system itself, or a system with faults
   */
  public static FaultInjection fromSystemProperty() {
    String file = System.getProperty(PROPERTY);
    return file == null ? none() : fromFile(Path.of(file));
  }

  /**
   * Returns the system as it is.
   *
   * @return a system without faults
   */
  public static FaultInjection none() {
    return new FaultInjection(false);
  }

  /**
   * Returns a system with the faults that a file asks for.
   *
   * @param file the file, as JSON; it may appear and change later
   * @return a system with faults
   */
  public static FaultInjection fromFile(Path file) {
    requireNonNull(file, "file is null");
    EventLogger.log(FaultEvent.INJECTION_ON, file);
    FaultInjection injection = new FaultInjection(true);
    injection.reload(file);
    ScheduledExecutorService poller =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "faults");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        poller.scheduleWithFixedDelay(
            () -> injection.reload(file), POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
    return injection;
  }

  private void reload(Path file) {
    try {
      if (!Files.exists(file)) {
        return;
      }
      InjectedFaults reloaded =
          new ObjectMapper().readValue(Files.readAllBytes(file), InjectedFaults.class);
      if (!reloaded.equals(faults)) {
        faults = reloaded;
        EventLogger.log(FaultEvent.FAULTS_CHANGED, reloaded);
      }
    } catch (IOException e) {
      EventLogger.log(FaultEvent.FAULTS_UNREADABLE, e.getMessage());
    }
  }

  /**
   * Reads the time of day.
   *
   * @return milliseconds since the epoch
   */
  public long wallClockMillis() {
    return System.currentTimeMillis() + faults.wallClockOffsetMillis();
  }

  /**
   * Returns the file operations for state that must last.
   *
   * @return the file operations
   */
  public FileOperations files() {
    FileOperations files = new SystemFileOperations();
    return enabled ? new FaultyFiles(files, () -> faults) : files;
  }

  /**
   * Returns where a peer is reached.
   *
   * @param address its address
   * @return the address to connect to
   */
  public InetSocketAddress resolvePeerAddress(String address) {
    String replacement =
        Optional.ofNullable(faults.dial()).map(map -> map.get(address)).orElse(null);
    return InstanceIds.socketAddress(replacement == null ? address : replacement);
  }
}
