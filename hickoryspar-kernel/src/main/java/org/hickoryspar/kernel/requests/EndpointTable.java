package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryspar.protocol.Endpoint;
import org.hickoryspar.protocol.EndpointVersion;

/**
 * The endpoints that minions have announced, ordered by incarnation and sequence.
 *
 * <p>A leave takes precedence over an announcement of the same or a lower order and is remembered
 * for ten minutes, so that a late copy of an announcement cannot bring an endpoint back. Safe for
 * use by several threads; the state is in shards, each under its own lock.
 */
public final class EndpointTable {

  /** How long a leave is remembered. */
  public static final long TOMBSTONE_MILLIS = 600_000;

  /** Longest life that an announcement may ask for; bounds how long a dead endpoint is tried. */
  public static final long MAX_TTL_MILLIS = 60_000;

  private static final int SHARDS = 16;

  private static final Comparator<Endpoint> ORDER =
      Comparator.<Endpoint>comparingLong(e -> e.getIncarnation())
          .thenComparingLong(e -> e.getSequence())
          .thenComparing(e -> e.getLeaving());

  private final List<Shard> shards;
  private final int capacityPerShard;
  private final AtomicLong version = new AtomicLong();

  /**
   * Creates an empty table.
   *
   * @param capacity most endpoints and tombstones that are kept
   */
  public EndpointTable(int capacity) {
    List<Shard> made = new ArrayList<>();
    for (int i = 0; i < SHARDS; i++) {
      made.add(new Shard());
    }
    shards = List.copyOf(made);
    capacityPerShard = Math.max(1, capacity / SHARDS);
  }

  /**
   * Applies an announcement or a leave, from a minion or from another entry.
   *
   * @param endpoint the announcement; its ttl counts from {@code nowMillis}
   * @param nowMillis monotonic time
   * @return true if it is newer than what was known
   */
  public boolean apply(Endpoint endpoint, long nowMillis) {
    requireNonNull(endpoint, "endpoint is null");
    Shard shard = shard(endpoint.getMinionId());
    synchronized (shard) {
      Known old = shard.known.get(endpoint.getMinionId());
      if (old != null && ORDER.compare(endpoint, old.endpoint) <= 0) {
        return false;
      }
      if (old == null && shard.known.size() >= capacityPerShard) {
        return false;
      }
      long life =
          endpoint.getLeaving()
              ? TOMBSTONE_MILLIS
              : Math.min(MAX_TTL_MILLIS, Integer.toUnsignedLong(endpoint.getTtlMillis()));
      shard.known.put(endpoint.getMinionId(), new Known(endpoint, nowMillis + life));
    }
    version.incrementAndGet();
    return true;
  }

  /**
   * Returns the endpoints of a service that have neither left nor expired.
   *
   * @param service the service
   * @param nowMillis monotonic time
   * @return the endpoints, in no particular order
   */
  public List<Endpoint> live(String service, long nowMillis) {
    requireNonNull(service, "service is null");
    List<Endpoint> found = new ArrayList<>();
    for (Known known : all(nowMillis)) {
      if (!known.endpoint.getLeaving() && known.endpoint.getService().equals(service)) {
        found.add(known.endpoint);
      }
    }
    return found;
  }

  /**
   * Returns the versions of everything known, tombstones included.
   *
   * @param nowMillis monotonic time
   * @return one version per minion
   */
  public List<EndpointVersion> digest(long nowMillis) {
    List<EndpointVersion> versions = new ArrayList<>();
    for (Known known : all(nowMillis)) {
      versions.add(
          EndpointVersion.newBuilder()
              .setMinionId(known.endpoint.getMinionId())
              .setIncarnation(known.endpoint.getIncarnation())
              .setSequence(known.endpoint.getSequence())
              .setLeaving(known.endpoint.getLeaving())
              .build());
    }
    return versions;
  }

  /**
   * Returns what the sender of a digest lacks.
   *
   * @param digest the digest of another entry
   * @param nowMillis monotonic time
   * @return endpoints that are newer here, with their remaining life as ttl
   */
  public List<Endpoint> newerThan(List<EndpointVersion> digest, long nowMillis) {
    requireNonNull(digest, "digest is null");
    Map<String, EndpointVersion> theirs = new HashMap<>();
    digest.forEach(v -> theirs.put(v.getMinionId(), v));
    List<Endpoint> newer = new ArrayList<>();
    for (Known known : all(nowMillis)) {
      EndpointVersion their = theirs.get(known.endpoint.getMinionId());
      if (their == null || ORDER.compare(known.endpoint, asEndpoint(their)) > 0) {
        newer.add(known.withRemainingTtl(nowMillis));
      }
    }
    return newer;
  }

  /**
   * Removes endpoints and tombstones whose life has ended.
   *
   * @param nowMillis monotonic time
   * @return how many live endpoints expired
   */
  public int removeExpired(long nowMillis) {
    int expired = 0;
    for (Shard shard : shards) {
      synchronized (shard) {
        int before = liveCount(shard);
        shard.known.values().removeIf(known -> known.expiresMillis <= nowMillis);
        expired += before - liveCount(shard);
      }
    }
    if (expired > 0) {
      version.incrementAndGet();
    }
    return expired;
  }

  /**
   * Returns a number that changes with each change of the table.
   *
   * @return the number
   */
  public long version() {
    return version.get();
  }

  private static int liveCount(Shard shard) {
    return (int) shard.known.values().stream().filter(k -> !k.endpoint.getLeaving()).count();
  }

  private List<Known> all(long nowMillis) {
    List<Known> found = new ArrayList<>();
    for (Shard shard : shards) {
      synchronized (shard) {
        for (Known known : shard.known.values()) {
          if (known.expiresMillis > nowMillis) {
            found.add(known);
          }
        }
      }
    }
    return found;
  }

  private Shard shard(String minionId) {
    return shards.get(Math.floorMod(minionId.hashCode(), SHARDS));
  }

  private static Endpoint asEndpoint(EndpointVersion version) {
    return Endpoint.newBuilder()
        .setIncarnation(version.getIncarnation())
        .setSequence(version.getSequence())
        .setLeaving(version.getLeaving())
        .build();
  }

  private static final class Shard {
    private final Map<String, Known> known = new HashMap<>();
  }

  private record Known(Endpoint endpoint, long expiresMillis) {
    private Endpoint withRemainingTtl(long nowMillis) {
      long remaining = Math.max(0, expiresMillis - nowMillis);
      return endpoint.toBuilder().setTtlMillis((int) remaining).build();
    }
  }
}
