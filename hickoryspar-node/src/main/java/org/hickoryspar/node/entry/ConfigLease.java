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
  private static final long WATCH_DEADLINE_MILLIS = 2_500;

  /** Bounds the traffic when control answers at once or is unreachable. */
  private static final long PAUSE_MILLIS = 100;

  private final String instanceId;
  private final ControlLink control;
  private final ScheduledExecutorService timer;
  private final LongSupplier monotonicMillis;
  private final Runnable onChange;
  private boolean reportedHeld;
  private volatile Held held = new Held(FleetView.NONE, Long.MIN_VALUE, false);

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
    Held now = held;
    return now.view.version() > 0 && monotonicMillis.getAsLong() < now.leaseUntilMillis
        ? Optional.of(now.view)
        : Optional.empty();
  }

  /** Returns whether control has answered lately, also with an empty configuration. */
  boolean isUnexpired() {
    return monotonicMillis.getAsLong() < held.leaseUntilMillis;
  }

  /** Logs when the lease is lost or held again. */
  void report() {
    boolean now = current().isPresent();
    if (now && !reportedHeld) {
      EventLogger.log(EntryEvent.LEASE_GAINED, held.view.version());
    } else if (!now && reportedHeld) {
      EventLogger.log(EntryEvent.LEASE_LOST);
    }
    reportedHeld = now;
  }

  /** Sends the next watch; each answer leads to the one after it. */
  void watch() {
    long calledMillis = monotonicMillis.getAsLong();
    Held now = held;
    ConfigWatch watch =
        ConfigWatch.newBuilder()
            .setEntryInstance(instanceId)
            .setVersionInForce(now.needsFull ? 0 : now.view.version())
            .build();
    var unused =
        control
            .watch(watch, WATCH_DEADLINE_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  boolean changed = failure == null && take(result, calledMillis);
                  if (!timer.isShutdown()) {
                    var unusedLater =
                        timer.schedule(
                            this::watch, changed ? 0 : PAUSE_MILLIS, TimeUnit.MILLISECONDS);
                  }
                });
  }

  private boolean take(Result<ConfigUpdate> result, long calledMillis) {
    return result.fold(problem -> false, update -> take(update, calledMillis));
  }

  /** Takes an update; one with a lower version comes from a stale leader and gives no lease. */
  private synchronized boolean take(ConfigUpdate update, long calledMillis) {
    Held old = held;
    long leaseUntil = calledMillis + Integer.toUnsignedLong(update.getLeaseMillis());
    if (update.getVersion() < old.view.version()) {
      EventLogger.log(EntryEvent.LOWER_VERSION, update.getVersion(), old.view.version());
      return false;
    }
    if (update.getVersion() == old.view.version()) {
      held = new Held(old.view, Math.max(leaseUntil, old.leaseUntilMillis), false);
      onChange.run();
      return false;
    }
    try {
      Optional<FleetView> next = old.view.apply(update);
      if (next.isEmpty()) {
        held = new Held(old.view, old.leaseUntilMillis, true);
        return true;
      }
      held = new Held(next.get(), Math.max(leaseUntil, old.leaseUntilMillis), false);
      onChange.run();
      return true;
    } catch (IOException e) {
      EventLogger.log(EntryEvent.BAD_DOCUMENT, e, update.getVersion());
      held = new Held(old.view, old.leaseUntilMillis, true);
      return false;
    }
  }

  private record Held(FleetView view, long leaseUntilMillis, boolean needsFull) {}
}
