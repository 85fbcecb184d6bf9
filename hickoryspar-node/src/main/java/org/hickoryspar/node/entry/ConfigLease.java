package org.hickoryspar.node.entry;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;

/** Watches the configuration at control and holds the version in force under a lease. */
final class ConfigLease {

  /** Control responds within 1 s; the rest is for the network and a change of the leader. */
  private static final long WATCH_TIMEOUT_MILLIS = 2_500;

  /** Bounds the traffic if control responds immediately or is unreachable. */
  private static final long WATCH_DELAY_MILLIS = 100;

  private final String instanceId;
  private final ControlLink control;
  private final ScheduledExecutorService timer;
  private final LongSupplier monotonicMillis;
  private final Runnable onChange;
  private boolean lastReportedHeld;
  private volatile LeasedConfig leased = new LeasedConfig(FleetView.NONE, Long.MIN_VALUE, false);

  ConfigLease(
      String instanceId,
      ControlLink control,
      ScheduledExecutorService timer,
      LongSupplier monotonicMillis,
      Runnable onChange) {
    this.instanceId = instanceId;
    this.control = control;
    this.timer = timer;
    this.monotonicMillis = monotonicMillis;
    this.onChange = onChange;
  }

  /** Returns the configuration in force, or empty if there is none or its lease has expired. */
  Optional<FleetView> current() {
    LeasedConfig current = leased;
    return current.view.version() > 0 && monotonicMillis.getAsLong() < current.leaseExpiryMillis
        ? Optional.of(current.view)
        : Optional.empty();
  }

  /** Returns whether the lease has not expired, even if control has no configuration yet. */
  boolean isUnexpired() {
    return monotonicMillis.getAsLong() < leased.leaseExpiryMillis;
  }

  /** Logs if the lease was lost or gained since the last call. */
  void reportLeaseChange() {
    boolean held = current().isPresent();
    if (held && !lastReportedHeld) {
      EventLogger.log(EntryEvent.LEASE_GAINED, leased.view.version());
    } else if (!held && lastReportedHeld) {
      EventLogger.log(EntryEvent.LEASE_LOST);
    }
    lastReportedHeld = held;
  }

  /** Sends a watch and schedules the next one after its response or failure. */
  void watch() {
    long sentMillis = monotonicMillis.getAsLong();
    LeasedConfig current = leased;
    ConfigWatch watch =
        ConfigWatch.newBuilder()
            .setEntryInstance(instanceId)
            .setVersionInForce(current.needsFullDocument ? 0 : current.view.version())
            .build();
    var unused =
        control
            .watch(watch, WATCH_TIMEOUT_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  boolean changed = failure == null && handleUpdate(result, sentMillis);
                  if (!timer.isShutdown()) {
                    var unusedLater =
                        timer.schedule(
                            this::watch, changed ? 0 : WATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                  }
                });
  }

  private boolean handleUpdate(Result<ConfigUpdate> result, long sentMillis) {
    return result.fold(problem -> false, update -> handleUpdate(update, sentMillis));
  }

  /**
   * Applies an update and renews the lease; ignores a lower version, which comes from a stale
   * leader. Returns whether to send the next watch without delay.
   */
  private synchronized boolean handleUpdate(ConfigUpdate update, long sentMillis) {
    LeasedConfig previous = leased;
    long leaseExpiryMillis = sentMillis + Integer.toUnsignedLong(update.getLeaseMillis());
    if (update.getVersion() < previous.view.version()) {
      EventLogger.log(EntryEvent.LOWER_VERSION, update.getVersion(), previous.view.version());
      return false;
    }
    if (update.getVersion() == previous.view.version()) {
      leased =
          new LeasedConfig(
              previous.view, Math.max(leaseExpiryMillis, previous.leaseExpiryMillis), false);
      onChange.run();
      return false;
    }
    try {
      Optional<FleetView> next = previous.view.apply(update);
      if (next.isEmpty()) {
        leased = new LeasedConfig(previous.view, previous.leaseExpiryMillis, true);
        return true;
      }
      leased =
          new LeasedConfig(
              next.get(), Math.max(leaseExpiryMillis, previous.leaseExpiryMillis), false);
      onChange.run();
      return true;
    } catch (IOException e) {
      EventLogger.log(EntryEvent.BAD_DOCUMENT, e, update.getVersion());
      leased = new LeasedConfig(previous.view, previous.leaseExpiryMillis, true);
      return false;
    }
  }

  private record LeasedConfig(FleetView view, long leaseExpiryMillis, boolean needsFullDocument) {}
}
