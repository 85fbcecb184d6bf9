package org.hickoryspar.node.entry;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.Promise;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;

/**
 * The connections to one minion.
 *
 * <p>A connection may stop responding for good while new ones work. So a connection is reused only
 * while it is known to respond: it has delivered an answer or answered a probe recently, and no
 * request to the same minion has timed out since. Probes keep idle connections usable for a while.
 */
final class MinionPool {

  /** How recently a connection must have responded to carry a request that cannot be repeated. */
  private static final long FRESH_MILLIS = 1_000;

  /** How recently a connection must have responded to carry a request that can be repeated. */
  private static final long USABLE_MILLIS = 10_000;

  private static final long PROBE_AFTER_MILLIS = 3_000;
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;

  /** Idle connections beyond this age are closed, which also ends their probes. */
  private static final long MAX_IDLE_MILLIS = 30_000;

  private final String minionId;
  private final HttpClient client;
  private final Destination destination;
  private final Origin.Address address;
  private final LongSupplier monotonicMillis;
  private final Deque<Pooled> idle = new ArrayDeque<>();
  private int open;
  private long suspectMillis = Long.MIN_VALUE;
  private boolean closed;

  MinionPool(String minionId, String address, HttpClient client, LongSupplier monotonicMillis) {
    this.minionId = minionId;
    this.client = client;
    this.monotonicMillis = monotonicMillis;
    InetSocketAddress socket = Settings.socketAddress(address);
    this.address = new Origin.Address(socket.getAddress().getHostAddress(), socket.getPort());
    this.destination = client.resolveDestination(new Origin("http", this.address));
  }

  /** A connection and when it was last known to respond. */
  static final class Pooled {
    private final Connection connection;
    private long provenMillis;
    private long usedMillis;

    private Pooled(Connection connection, long nowMillis) {
      this.connection = connection;
      this.provenMillis = nowMillis;
      this.usedMillis = nowMillis;
    }

    Connection connection() {
      return connection;
    }
  }

  /** Returns a request to the minion, to be sent on one of the connections. */
  Request newRequest() {
    return client.newRequest(address.getHost(), address.getPort());
  }

  /**
   * Finds or opens a connection.
   *
   * @param repeatable whether the request may be sent again if the connection turns out dead
   * @param maxConnections share of this entry
   */
  void acquire(boolean repeatable, int maxConnections, Promise<Pooled> promise) {
    long now = monotonicMillis.getAsLong();
    List<Pooled> stale = new ArrayList<>();
    Pooled found = null;
    boolean refused;
    synchronized (this) {
      long limit = repeatable ? USABLE_MILLIS : FRESH_MILLIS;
      while (found == null && !idle.isEmpty()) {
        Pooled next = idle.removeLast();
        if (isUsable(next, now, limit)) {
          found = next;
        } else {
          open--;
          stale.add(next);
        }
      }
      refused = found == null && (closed || open >= maxConnections);
      if (found == null && !refused) {
        open++;
      }
    }
    stale.forEach(pooled -> pooled.connection.close());
    if (found != null) {
      promise.succeeded(found);
    } else if (refused) {
      promise.failed(new IllegalStateException("no connection left to minion " + minionId));
    } else {
      connect(promise);
    }
  }

  private boolean isUsable(Pooled pooled, long now, long limitMillis) {
    return !closed
        && !pooled.connection.isClosed()
        && pooled.provenMillis > suspectMillis
        && now - pooled.provenMillis <= limitMillis;
  }

  private void connect(Promise<Pooled> promise) {
    destination.newConnection(
        new Promise<>() {
          @Override
          public void succeeded(Connection connection) {
            promise.succeeded(new Pooled(connection, monotonicMillis.getAsLong()));
          }

          @Override
          public void failed(Throwable failure) {
            synchronized (MinionPool.this) {
              open--;
            }
            promise.failed(failure);
          }
        });
  }

  /** Takes back a connection after a whole answer. */
  void release(Pooled pooled) {
    long now = monotonicMillis.getAsLong();
    boolean keep;
    synchronized (this) {
      pooled.provenMillis = now;
      pooled.usedMillis = now;
      keep = !closed && !pooled.connection.isClosed();
      if (keep) {
        idle.addLast(pooled);
      } else {
        open--;
      }
    }
    if (!keep) {
      pooled.connection.close();
    }
  }

  /** Takes back a connection that was not used. */
  void releaseUnused(Pooled pooled) {
    boolean keep;
    synchronized (this) {
      keep = !closed && !pooled.connection.isClosed();
      if (keep) {
        idle.addFirst(pooled);
      } else {
        open--;
      }
    }
    if (!keep) {
      pooled.connection.close();
    }
  }

  /** Closes a connection whose answer was abandoned. */
  void discard(Pooled pooled) {
    synchronized (this) {
      open--;
    }
    pooled.connection.close();
  }

  /** Notes that a request got no answer in time: idle connections may be dead as well. */
  void suspect() {
    EventLogger.log(EntryEvent.SILENT_CONNECTION, minionId);
    synchronized (this) {
      suspectMillis = monotonicMillis.getAsLong();
    }
  }

  /**
   * Probes idle connections that have been quiet and closes those that were idle for long. An only
   * connection is not probed, because a probe would take it from requests.
   *
   * @param maxConnections share of this entry; idle connections beyond it are closed
   */
  void tick(int maxConnections) {
    long now = monotonicMillis.getAsLong();
    List<Pooled> probes = new ArrayList<>();
    List<Pooled> old = new ArrayList<>();
    synchronized (this) {
      for (Pooled pooled : List.copyOf(idle)) {
        if (pooled.connection.isClosed()
            || now - pooled.usedMillis > MAX_IDLE_MILLIS
            || open - old.size() > maxConnections) {
          old.add(pooled);
        } else if (maxConnections >= 2 && isQuiet(pooled, now)) {
          probes.add(pooled);
        }
      }
      idle.removeAll(old);
      idle.removeAll(probes);
      open -= old.size();
    }
    old.forEach(pooled -> pooled.connection.close());
    probes.forEach(this::probe);
  }

  private boolean isQuiet(Pooled pooled, long now) {
    return pooled.provenMillis <= suspectMillis || now - pooled.provenMillis > PROBE_AFTER_MILLIS;
  }

  /** Sends a request on the connection; an answer of any status shows that it responds. */
  private void probe(Pooled pooled) {
    long usedMillis = pooled.usedMillis;
    pooled.connection.send(
        newRequest().path("/livez").timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
        result -> {
          if (result.isSucceeded()) {
            release(pooled);
            pooled.usedMillis = usedMillis;
          } else {
            if (result.getFailure() instanceof TimeoutException) {
              EventLogger.log(EntryEvent.SILENT_CONNECTION, minionId);
            }
            discard(pooled);
          }
        });
  }

  /** Closes the idle connections; those in use are closed when they come back. */
  void close() {
    List<Pooled> all;
    synchronized (this) {
      closed = true;
      all = List.copyOf(idle);
      idle.clear();
      open -= all.size();
    }
    all.forEach(pooled -> pooled.connection.close());
  }
}
