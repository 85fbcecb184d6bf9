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

/** Gives entries configuration updates and configuration leases, on the leader. */
final class ConfigService {

  /** Length of a configuration lease, counted at the entry from the time of its call. */
  static final int LEASE_MILLIS = 3_000;

  /** A watch without news is answered after this time, so that the lease is renewed in time. */
  static final long WAIT_MILLIS = 1_000;

  /** How often a waiting watch is checked for the loss of the leader lease. */
  private static final long CHECK_MILLIS = 250;

  private final ControlState state;
  private final Proposer proposer;
  private final LongSupplier monotonicMillis;
  private final Map<String, Watch> watches = new TreeMap<>();
  private final Set<Waiter> waiting = new LinkedHashSet<>();

  ConfigService(ControlState state, Proposer proposer, LongSupplier monotonicMillis) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Answers at once when the entry is behind or has not watched here lately, else when a change
   * comes, the lease of this leader ends or the wait is over.
   */
  CompletableFuture<Optional<ConfigUpdate>> watch(ConfigWatch watch) {
    long nowMillis = monotonicMillis.getAsLong();
    Waiter waiter = new Waiter(new CompletableFuture<>());
    synchronized (this) {
      Watch before =
          watches.put(watch.getEntryInstance(), new Watch(watch.getVersionInForce(), nowMillis));
      // After a change of the leader an entry has little of its lease left and must not wait.
      boolean recent = before != null && nowMillis - before.confirmedMillis() <= 2 * WAIT_MILLIS;
      if (!recent || watch.getVersionInForce() != state.fleetVersion()) {
        waiter.news.complete(true);
      } else {
        waiting.add(waiter);
      }
    }
    return awaitNews(waiter, WAIT_MILLIS).thenApply(changed -> update(watch, waiter));
  }

  private CompletableFuture<Boolean> awaitNews(Waiter waiter, long leftMillis) {
    return waiter
        .news
        .copy()
        .completeOnTimeout(false, CHECK_MILLIS, TimeUnit.MILLISECONDS)
        .thenCompose(
            changed ->
                changed || leftMillis <= CHECK_MILLIS || !proposer.mayGrant()
                    ? CompletableFuture.completedFuture(changed)
                    : awaitNews(waiter, leftMillis - CHECK_MILLIS));
  }

  /** The lease is checked last: a leader that lost it must not extend an entry's lease. */
  private Optional<ConfigUpdate> update(ConfigWatch watch, Waiter waiter) {
    synchronized (this) {
      waiting.remove(waiter);
    }
    ConfigUpdate.Builder update = ConfigUpdate.newBuilder().setLeaseMillis(LEASE_MILLIS);
    long since = watch.getVersionInForce();
    Optional<List<FleetDelta>> deltas =
        since == 0 ? Optional.empty() : state.fleetDeltasAfter(since);
    if (deltas.isPresent()) {
      List<FleetDelta> changes = deltas.get();
      update.addAllDeltas(changes);
      update.setVersion(changes.isEmpty() ? since : changes.get(changes.size() - 1).getVersion());
    } else {
      ControlState.FleetVersion current = state.fleet();
      update.setVersion(current.version());
      update.setFullDocumentJson(ByteString.copyFromUtf8(current.document().toString()));
    }
    return proposer.mayGrant() ? Optional.of(update.build()) : Optional.empty();
  }

  /** Wakes the watches after a change. */
  void changed() {
    List<Waiter> woken;
    synchronized (this) {
      woken = new ArrayList<>(waiting);
      waiting.clear();
    }
    woken.forEach(waiter -> waiter.news.complete(true));
  }

  /** Lists the entries that may hold an unexpired lease, with the version each has confirmed. */
  synchronized Map<String, Long> versionsInForce() {
    long nowMillis = monotonicMillis.getAsLong();
    Map<String, Long> versions = new TreeMap<>();
    watches.forEach(
        (entry, watch) -> {
          if (nowMillis - watch.confirmedMillis() <= LEASE_MILLIS + WAIT_MILLIS) {
            versions.put(entry, watch.version());
          }
        });
    return versions;
  }

  private static final class Waiter {
    private final CompletableFuture<Boolean> news;

    Waiter(CompletableFuture<Boolean> news) {
      this.news = news;
    }
  }

  private record Watch(long version, long confirmedMillis) {}
}
