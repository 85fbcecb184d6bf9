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
 * The endpoints announced by minions, with the latest version of each.
 *
 * <p>Versions are ordered by incarnation and sequence; a leave is newer than an announcement with
 * the same numbers. A leave is kept as a tombstone for ten minutes, so that a delayed copy of an
 * announcement cannot restore the endpoint. Thread-safe; the table is divided into shards with one
 * lock each.
 */
public final class EndpointTable {

  /** How long a leave is kept as a tombstone. */
  public static final long TOMBSTONE_TTL_MILLIS = 600_000;

  /** Maximum TTL of an announcement; bounds how long requests are sent to a dead endpoint. */
  public static final long MAX_TTL_MILLIS = 60_000;

  private static final int SHARD_COUNT = 16;

  private static final Comparator<Endpoint> VERSION_ORDER =
      Comparator.<Endpoint>comparingLong(endpoint -> endpoint.getIncarnation())
          .thenComparingLong(endpoint -> endpoint.getSequence())
          .thenComparing(endpoint -> endpoint.getLeaving());

  private final List<Shard> shards;
  private final int capacityPerShard;
  private final AtomicLong version = new AtomicLong();

  /**
   * Creates an empty table.
   *
   * @param capacity maximum number of endpoints and tombstones, divided equally among the shards
   */
  public EndpointTable(int capacity) {
    List<Shard> newShards = new ArrayList<>();
    for (int i = 0; i < SHARD_COUNT; i++) {
      newShards.add(new Shard());
    }
    shards = List.copyOf(newShards);
    capacityPerShard = Math.max(1, capacity / SHARD_COUNT);
  }

  /**
   * Applies an announcement or a leave that was received from a minion or from another entry.
   *
   * @param endpoint the announcement or leave; its TTL counts from {@code nowMillis}
   * @param nowMillis monotonic time in milliseconds
   * @return true if the table changed; false if it holds the same or a newer version, or has no
   *     capacity for another minion
   */
  public boolean apply(Endpoint endpoint, long nowMillis) {
    requireNonNull(endpoint, "endpoint is null");
    Shard shard = shard(endpoint.getMinionId());
    synchronized (shard) {
      Registration existing = shard.registrations.get(endpoint.getMinionId());
      if (existing != null && VERSION_ORDER.compare(endpoint, existing.endpoint) <= 0) {
        return false;
      }
      if (existing == null && shard.registrations.size() >= capacityPerShard) {
        return false;
      }
      long ttlMillis =
          endpoint.getLeaving()
              ? TOMBSTONE_TTL_MILLIS
              : Math.min(MAX_TTL_MILLIS, Integer.toUnsignedLong(endpoint.getTtlMillis()));
      shard.registrations.put(
          endpoint.getMinionId(), new Registration(endpoint, nowMillis + ttlMillis));
    }
    version.incrementAndGet();
    return true;
  }

  /**
   * Returns the endpoints of a service that have neither left nor expired.
   *
   * @param service name of the service
   * @param nowMillis monotonic time in milliseconds
   * @return the endpoints, in no particular order
   */
  public List<Endpoint> live(String service, long nowMillis) {
    requireNonNull(service, "service is null");
    List<Endpoint> found = new ArrayList<>();
    for (Registration registration : unexpired(nowMillis)) {
      if (!registration.endpoint.getLeaving()
          && registration.endpoint.getService().equals(service)) {
        found.add(registration.endpoint);
      }
    }
    return found;
  }

  /**
   * Returns the versions of all unexpired endpoints and tombstones, for comparison by another
   * entry.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return one version per minion
   */
  public List<EndpointVersion> digest(long nowMillis) {
    List<EndpointVersion> versions = new ArrayList<>();
    for (Registration registration : unexpired(nowMillis)) {
      versions.add(
          EndpointVersion.newBuilder()
              .setMinionId(registration.endpoint.getMinionId())
              .setIncarnation(registration.endpoint.getIncarnation())
              .setSequence(registration.endpoint.getSequence())
              .setLeaving(registration.endpoint.getLeaving())
              .build());
    }
    return versions;
  }

  /**
   * Returns the endpoints and tombstones that are newer than those in a digest or missing from it.
   *
   * @param digest the {@link #digest} of another entry
   * @param nowMillis monotonic time in milliseconds
   * @return the endpoints and tombstones, each with its remaining time as TTL
   */
  public List<Endpoint> newerThan(List<EndpointVersion> digest, long nowMillis) {
    requireNonNull(digest, "digest is null");
    Map<String, EndpointVersion> remoteVersions = new HashMap<>();
    digest.forEach(version -> remoteVersions.put(version.getMinionId(), version));
    List<Endpoint> newer = new ArrayList<>();
    for (Registration registration : unexpired(nowMillis)) {
      EndpointVersion remoteVersion = remoteVersions.get(registration.endpoint.getMinionId());
      if (remoteVersion == null
          || VERSION_ORDER.compare(registration.endpoint, asEndpoint(remoteVersion)) > 0) {
        newer.add(registration.withRemainingTtl(nowMillis));
      }
    }
    return newer;
  }

  /**
   * Removes the endpoints and tombstones whose TTL has passed.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the number of removed endpoints, without tombstones
   */
  public int removeExpired(long nowMillis) {
    int expired = 0;
    for (Shard shard : shards) {
      synchronized (shard) {
        int liveBefore = liveCount(shard);
        shard
            .registrations
            .values()
            .removeIf(registration -> registration.expiresMillis <= nowMillis);
        expired += liveBefore - liveCount(shard);
      }
    }
    if (expired > 0) {
      version.incrementAndGet();
    }
    return expired;
  }

  /**
   * Returns the modification count of the table, which callers compare to detect changes.
   *
   * @return a number that increases when the table is updated or expired endpoints are removed
   */
  public long version() {
    return version.get();
  }

  private static int liveCount(Shard shard) {
    return (int)
        shard.registrations.values().stream()
            .filter(registration -> !registration.endpoint.getLeaving())
            .count();
  }

  private List<Registration> unexpired(long nowMillis) {
    List<Registration> found = new ArrayList<>();
    for (Shard shard : shards) {
      synchronized (shard) {
        for (Registration registration : shard.registrations.values()) {
          if (registration.expiresMillis > nowMillis) {
            found.add(registration);
          }
        }
      }
    }
    return found;
  }

  private Shard shard(String minionId) {
    return shards.get(Math.floorMod(minionId.hashCode(), SHARD_COUNT));
  }

  private static Endpoint asEndpoint(EndpointVersion version) {
    return Endpoint.newBuilder()
        .setIncarnation(version.getIncarnation())
        .setSequence(version.getSequence())
        .setLeaving(version.getLeaving())
        .build();
  }

  private static final class Shard {
    private final Map<String, Registration> registrations = new HashMap<>();
  }

  private record Registration(Endpoint endpoint, long expiresMillis) {
    private Endpoint withRemainingTtl(long nowMillis) {
      long remainingMillis = Math.max(0, expiresMillis - nowMillis);
      return endpoint.toBuilder().setTtlMillis((int) remainingMillis).build();
    }
  }
}
