package org.hickoryspar.node.faults;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.concurrent.PeriodicTask;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.storage.FileOperations;
import org.hickoryspar.node.storage.SystemFileOperations;

/**
 * Supplies the wall clock, the file operations and the addresses of peers to a process. They are
 * those of the system, unless the system property {@code hickoryspar.faults} names a file with
 * faults, which is then polled for changes. Only tests set the property. Thread-safe.
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
   * Creates fault injection as specified by the system property.
   *
   * @return injection from the file in the property, or none if it is not set
   */
  public static FaultInjection fromSystemProperty() {
    String file = System.getProperty(PROPERTY);
    return file == null ? none() : fromFile(Path.of(file));
  }

  /**
   * Creates fault injection that is disabled.
   *
   * @return injection without faults
   */
  public static FaultInjection none() {
    return new FaultInjection(false);
  }

  /**
   * Creates fault injection from a file, which a daemon thread polls for changes.
   *
   * @param file a JSON file; it may be created and changed later
   * @return injection of the faults in the file
   */
  public static FaultInjection fromFile(Path file) {
    requireNonNull(file, "file is null");
    EventLogger.log(FaultEvent.INJECTION_ON, file);
    FaultInjection injection = new FaultInjection(true);
    injection.reload(file);
    new PeriodicTask("faults", POLL_MILLIS, () -> injection.reload(file)).start();
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
   * Returns the wall-clock time with the injected offset.
   *
   * @return milliseconds since the epoch
   */
  public long wallClockMillis() {
    return System.currentTimeMillis() + faults.wallClockOffsetMillis();
  }

  /**
   * Returns the file operations for durable state.
   *
   * @return file operations of the system, with injected faults if injection is enabled
   */
  public FileOperations files() {
    FileOperations files = new SystemFileOperations();
    return enabled ? new FaultyFiles(files, () -> faults) : files;
  }

  /**
   * Resolves the address of a peer, unless an injected fault replaces it.
   *
   * @param address host and port of the peer
   * @return the address to connect to
   */
  public InetSocketAddress resolvePeerAddress(String address) {
    String replacement =
        Optional.ofNullable(faults.dial()).map(map -> map.get(address)).orElse(null);
    return InstanceIds.socketAddress(replacement == null ? address : replacement);
  }
}
