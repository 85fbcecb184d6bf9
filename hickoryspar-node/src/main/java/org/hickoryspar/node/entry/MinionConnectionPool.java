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
 * A pool of connections to one minion.
 *
 * <p>A connection may stay unresponsive while new connections work. A connection is therefore
 * reused only if it has delivered a response recently, to a request or to a probe, and no request
 * to the minion has timed out since. Probes keep idle connections reusable for a while.
 */
final class MinionConnectionPool {

  /** Maximum time since the last response of a connection for a non-idempotent request. */
  private static final long MAX_RESPONSE_AGE_NON_IDEMPOTENT_MILLIS = 1_000;

  /** Maximum time since the last response of a connection for an idempotent request. */
  private static final long MAX_RESPONSE_AGE_IDEMPOTENT_MILLIS = 10_000;

  private static final long PROBE_AFTER_MILLIS = 3_000;
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;

  /** Time since the last request after which an idle connection is closed and no longer probed. */
  private static final long MAX_IDLE_MILLIS = 30_000;

  private final String minionId;
  private final HttpClient client;
  private final Destination destination;
  private final Origin.Address address;
  private final LongSupplier monotonicMillis;
  private final Deque<PooledConnection> idle = new ArrayDeque<>();
  private int openCount;
  private long lastTimeoutMillis = Long.MIN_VALUE;
  private boolean closed;

  MinionConnectionPool(
      String minionId, String address, HttpClient client, LongSupplier monotonicMillis) {
    this.minionId = minionId;
    this.client = client;
    this.monotonicMillis = monotonicMillis;
    InetSocketAddress socketAddress = Settings.socketAddress(address);
    this.address =
        new Origin.Address(socketAddress.getAddress().getHostAddress(), socketAddress.getPort());
    this.destination = client.resolveDestination(new Origin("http", this.address));
  }

  /** A connection with the times of its last response and its last request. */
  static final class PooledConnection {
    private final Connection connection;
    private long lastResponseMillis;
    private long lastUsedMillis;

    private PooledConnection(Connection connection, long nowMillis) {
      this.connection = connection;
      this.lastResponseMillis = nowMillis;
      this.lastUsedMillis = nowMillis;
    }

    Connection connection() {
      return connection;
    }
  }

  /** Creates a request to the minion, which must be sent on a connection of this pool. */
  Request newRequest() {
    return client.newRequest(address.getHost(), address.getPort());
  }

  /**
   * Acquires an idle connection that is reusable, or opens a new one.
   *
   * @param idempotent whether the request may be sent again if the connection proves to be dead
   * @param maxConnections maximum number of connections of this entry to the minion
   * @param promise receives the connection, or a failure if the limit is reached or the connection
   *     cannot be opened
   */
  void acquire(boolean idempotent, int maxConnections, Promise<PooledConnection> promise) {
    long nowMillis = monotonicMillis.getAsLong();
    List<PooledConnection> stale = new ArrayList<>();
    PooledConnection found = null;
    boolean unavailable;
    synchronized (this) {
      long maxResponseAgeMillis =
          idempotent ? MAX_RESPONSE_AGE_IDEMPOTENT_MILLIS : MAX_RESPONSE_AGE_NON_IDEMPOTENT_MILLIS;
      while (found == null && !idle.isEmpty()) {
        PooledConnection candidate = idle.removeLast();
        if (isUsable(candidate, nowMillis, maxResponseAgeMillis)) {
          found = candidate;
        } else {
          openCount--;
          stale.add(candidate);
        }
      }
      unavailable = found == null && (closed || openCount >= maxConnections);
      if (found == null && !unavailable) {
        openCount++;
      }
    }
    stale.forEach(pooledConnection -> pooledConnection.connection.close());
    if (found != null) {
      promise.succeeded(found);
    } else if (unavailable) {
      promise.failed(new IllegalStateException("no connection available to minion " + minionId));
    } else {
      connect(promise);
    }
  }

  private boolean isUsable(
      PooledConnection pooledConnection, long nowMillis, long maxResponseAgeMillis) {
    return !closed
        && !pooledConnection.connection.isClosed()
        && pooledConnection.lastResponseMillis > lastTimeoutMillis
        && nowMillis - pooledConnection.lastResponseMillis <= maxResponseAgeMillis;
  }

  private void connect(Promise<PooledConnection> promise) {
    destination.newConnection(
        new Promise<>() {
          @Override
          public void succeeded(Connection connection) {
            promise.succeeded(new PooledConnection(connection, monotonicMillis.getAsLong()));
          }

          @Override
          public void failed(Throwable failure) {
            synchronized (MinionConnectionPool.this) {
              openCount--;
            }
            promise.failed(failure);
          }
        });
  }

  /** Returns a connection to the pool after a complete response. */
  void release(PooledConnection pooledConnection) {
    long nowMillis = monotonicMillis.getAsLong();
    boolean keep;
    synchronized (this) {
      pooledConnection.lastResponseMillis = nowMillis;
      pooledConnection.lastUsedMillis = nowMillis;
      keep = !closed && !pooledConnection.connection.isClosed();
      if (keep) {
        idle.addLast(pooledConnection);
      } else {
        openCount--;
      }
    }
    if (!keep) {
      pooledConnection.connection.close();
    }
  }

  /** Returns a connection to the pool on which no request was sent. */
  void releaseUnused(PooledConnection pooledConnection) {
    boolean keep;
    synchronized (this) {
      keep = !closed && !pooledConnection.connection.isClosed();
      if (keep) {
        idle.addFirst(pooledConnection);
      } else {
        openCount--;
      }
    }
    if (!keep) {
      pooledConnection.connection.close();
    }
  }

  /** Closes a connection whose response was not received completely. */
  void discard(PooledConnection pooledConnection) {
    synchronized (this) {
      openCount--;
    }
    pooledConnection.connection.close();
  }

  /** Records the timeout of a request, after which idle connections may be dead as well. */
  void recordTimeout() {
    EventLogger.log(EntryEvent.SILENT_CONNECTION, minionId);
    synchronized (this) {
      lastTimeoutMillis = monotonicMillis.getAsLong();
    }
  }

  /**
   * Closes connections that have been idle for too long and probes those that have not responded
   * recently. If only one connection is permitted, it is not probed, because requests could not use
   * it during the probe.
   *
   * @param maxConnections maximum number of connections of this entry to the minion; idle
   *     connections beyond it are closed
   */
  void tick(int maxConnections) {
    long nowMillis = monotonicMillis.getAsLong();
    List<PooledConnection> probes = new ArrayList<>();
    List<PooledConnection> expired = new ArrayList<>();
    synchronized (this) {
      for (PooledConnection pooledConnection : List.copyOf(idle)) {
        if (pooledConnection.connection.isClosed()
            || nowMillis - pooledConnection.lastUsedMillis > MAX_IDLE_MILLIS
            || openCount - expired.size() > maxConnections) {
          expired.add(pooledConnection);
        } else if (maxConnections >= 2 && needsProbe(pooledConnection, nowMillis)) {
          probes.add(pooledConnection);
        }
      }
      idle.removeAll(expired);
      idle.removeAll(probes);
      openCount -= expired.size();
    }
    expired.forEach(pooledConnection -> pooledConnection.connection.close());
    probes.forEach(this::probe);
  }

  private boolean needsProbe(PooledConnection pooledConnection, long nowMillis) {
    return pooledConnection.lastResponseMillis <= lastTimeoutMillis
        || nowMillis - pooledConnection.lastResponseMillis > PROBE_AFTER_MILLIS;
  }

  /** Sends a probe on the connection; a response of any status proves that it is alive. */
  private void probe(PooledConnection pooledConnection) {
    long lastUsedMillis = pooledConnection.lastUsedMillis;
    pooledConnection.connection.send(
        newRequest().path("/livez").timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
        result -> {
          if (result.isSucceeded()) {
            release(pooledConnection);
            pooledConnection.lastUsedMillis = lastUsedMillis;
          } else {
            if (result.getFailure() instanceof TimeoutException) {
              EventLogger.log(EntryEvent.SILENT_CONNECTION, minionId);
            }
            discard(pooledConnection);
          }
        });
  }

  /** Closes the idle connections; those in use are closed when they are released. */
  void close() {
    List<PooledConnection> idleConnections;
    synchronized (this) {
      closed = true;
      idleConnections = List.copyOf(idle);
      idle.clear();
      openCount -= idleConnections.size();
    }
    idleConnections.forEach(pooledConnection -> pooledConnection.connection.close());
  }
}
