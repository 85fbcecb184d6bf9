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

/** Holds the configuration in force and the lease on it, and keeps both up to date. */
final class ConfigLease {

  /** A watch is answered within 1 s; the rest is for the way and for a change of the leader. */
  private static final long WATCH_TIMEOUT_MILLIS = 2_500;

  /** Bounds the traffic when control answers at once or is unreachable. */
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

  /** Returns the configuration in force, or empty without an unexpired lease. */
  Optional<FleetView> current() {
    LeasedConfig current = leased;
    return current.view.version() > 0 && monotonicMillis.getAsLong() < current.leaseExpiryMillis
        ? Optional.of(current.view)
        : Optional.empty();
  }

  /** Returns whether control has answered lately, also with an empty configuration. */
  boolean isUnexpired() {
    return monotonicMillis.getAsLong() < leased.leaseExpiryMillis;
  }

  /** Logs when the lease is lost or held again. */
  void reportLeaseChange() {
    boolean held = current().isPresent();
    if (held && !lastReportedHeld) {
      EventLogger.log(EntryEvent.LEASE_GAINED, leased.view.version());
    } else if (!held && lastReportedHeld) {
      EventLogger.log(EntryEvent.LEASE_LOST);
    }
    lastReportedHeld = held;
  }

  /** Sends the next watch; each answer leads to the one after it. */
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

  /** Takes an update; one with a lower version comes from a stale leader and gives no lease. */
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
