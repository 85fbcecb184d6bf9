package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;
import org.hickoryspar.protocol.FleetDelta;

/**
 * Serves the configuration watches of entries on the leader. Each response carries the changes of
 * the fleet configuration and renews the configuration lease of the entry. Thread-safe.
 */
final class ConfigService {

  /** Duration of a configuration lease; the entry counts it from the start of its watch. */
  static final int LEASE_MILLIS = 3_000;

  /** Time after which a watch without a change is completed, so that the lease is renewed. */
  static final long MAX_WAIT_MILLIS = 1_000;

  /** Interval at which a pending watch checks that this replica still holds the leader lease. */
  private static final long LEASE_CHECK_INTERVAL_MILLIS = 250;

  private final ControlState state;
  private final Proposer proposer;
  private final LongSupplier monotonicMillis;
  private final Map<String, LastWatch> lastWatchByEntry = new TreeMap<>();
  private final Set<PendingWatch> pendingWatches = new LinkedHashSet<>();

  ConfigService(ControlState state, Proposer proposer, LongSupplier monotonicMillis) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Completes at once if the version of the entry is not the current one or the entry has not
   * watched here recently; otherwise on a change, on the loss of the leader lease or after {@link
   * #MAX_WAIT_MILLIS}. The result is empty if this replica no longer holds the leader lease.
   */
  CompletableFuture<Optional<ConfigUpdate>> watch(ConfigWatch watch) {
    long nowMillis = monotonicMillis.getAsLong();
    PendingWatch pending = new PendingWatch(new CompletableFuture<>());
    synchronized (this) {
      LastWatch previous =
          lastWatchByEntry.put(
              watch.getEntryInstance(), new LastWatch(watch.getVersionInForce(), nowMillis));
      // After a change of leader, little of the entry's lease remains: the watch must not wait.
      boolean watchedRecently =
          previous != null && nowMillis - previous.receivedMillis() <= 2 * MAX_WAIT_MILLIS;
      if (!watchedRecently || watch.getVersionInForce() != state.fleetVersion()) {
        pending.changeFuture.complete(true);
      } else {
        pendingWatches.add(pending);
      }
    }
    return awaitChange(pending, MAX_WAIT_MILLIS).thenApply(changed -> buildUpdate(watch, pending));
  }

  private CompletableFuture<Boolean> awaitChange(PendingWatch pending, long remainingMillis) {
    return pending
        .changeFuture
        .copy()
        .completeOnTimeout(false, LEASE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        .thenCompose(
            changed ->
                changed || remainingMillis <= LEASE_CHECK_INTERVAL_MILLIS || !proposer.holdsLease()
                    ? CompletableFuture.completedFuture(changed)
                    : awaitChange(pending, remainingMillis - LEASE_CHECK_INTERVAL_MILLIS));
  }

  /**
   * Returns the update, or empty if this replica has lost the leader lease. The leader lease is
   * checked last, because a former leader must not extend the lease of an entry.
   */
  private Optional<ConfigUpdate> buildUpdate(ConfigWatch watch, PendingWatch pending) {
    synchronized (this) {
      pendingWatches.remove(pending);
    }
    ConfigUpdate.Builder update = ConfigUpdate.newBuilder().setLeaseMillis(LEASE_MILLIS);
    long knownVersion = watch.getVersionInForce();
    Optional<List<FleetDelta>> deltas =
        knownVersion == 0 ? Optional.empty() : state.fleetDeltasAfter(knownVersion);
    if (deltas.isPresent()) {
      List<FleetDelta> changes = deltas.get();
      update.addAllDeltas(changes);
      update.setVersion(
          changes.isEmpty() ? knownVersion : changes.get(changes.size() - 1).getVersion());
    } else {
      ControlState.FleetVersion current = state.fleet();
      update.setVersion(current.version());
      update.setFullDocumentJson(ByteString.copyFromUtf8(current.document().toString()));
    }
    return proposer.holdsLease() ? Optional.of(update.build()) : Optional.empty();
  }

  /** Completes the pending watches after a change of the fleet configuration. */
  void handleFleetChange() {
    List<PendingWatch> completed;
    synchronized (this) {
      completed = new ArrayList<>(pendingWatches);
      pendingWatches.clear();
    }
    completed.forEach(pending -> pending.changeFuture.complete(true));
  }

  /** Returns the version in force at each entry that may hold an unexpired lease. */
  synchronized Map<String, Long> versionsInForce() {
    long nowMillis = monotonicMillis.getAsLong();
    Map<String, Long> versions = new TreeMap<>();
    lastWatchByEntry.forEach(
        (entry, watch) -> {
          if (nowMillis - watch.receivedMillis() <= LEASE_MILLIS + MAX_WAIT_MILLIS) {
            versions.put(entry, watch.version());
          }
        });
    return versions;
  }

  private static final class PendingWatch {
    private final CompletableFuture<Boolean> changeFuture;

    PendingWatch(CompletableFuture<Boolean> changeFuture) {
      this.changeFuture = changeFuture;
    }
  }

  private record LastWatch(long version, long receivedMillis) {}
}
