package org.hickoryspar.kernel.catalog;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TeamEntitlement;

/**
 * An immutable view of a catalog, with indexes for the lookups that each call requires.
 *
 * <pre>{@code
 * Optional<Queue> queue = view.findQueue("jobs.example", "/preview/5c0e7a21d94b36f8");
 * }</pre>
 */
public final class CatalogView {

  private static final double DEFAULT_TEAM_WEIGHT = 1;

  private static final CatalogView EMPTY = new CatalogView(Catalog.getDefaultInstance());

  private final Catalog catalog;
  private final Map<String, List<Queue>> queuesByHost = new HashMap<>();
  private final Map<QueueAddress, Queue> queuesByAddress = new HashMap<>();
  private final Map<String, ServicePolicy> servicesByName = new HashMap<>();
  private final Map<String, TeamEntitlement> teamsByName = new HashMap<>();
  private final Map<String, String> teamNamesByKey = new HashMap<>();

  private CatalogView(Catalog catalog) {
    this.catalog = catalog;
    for (Queue queue : catalog.getQueuesList()) {
      queuesByHost
          .computeIfAbsent(normalizeHost(queue.getHost()), host -> new ArrayList<>())
          .add(queue);
      queuesByAddress.put(QueueAddress.of(queue), queue);
    }
    Comparator<Queue> longestPrefixFirst =
        Comparator.comparingInt((Queue queue) -> queue.getPathPrefix().length()).reversed();
    queuesByHost.values().forEach(queues -> queues.sort(longestPrefixFirst));
    catalog.getServicesList().forEach(service -> servicesByName.put(service.getName(), service));
    for (TeamEntitlement team : catalog.getTeamsList()) {
      teamsByName.put(team.getName(), team);
      team.getKeysList().forEach(key -> teamNamesByKey.put(key, team.getName()));
    }
  }

  /**
   * Returns a view of a catalog.
   *
   * @param catalog a valid catalog, see {@link CatalogValidator}
   * @return a view with its own indexes
   */
  public static CatalogView of(Catalog catalog) {
    return new CatalogView(requireNonNull(catalog, "catalog is null"));
  }

  /**
   * Returns the view of the empty catalog, which has version 0.
   *
   * @return the shared empty view
   */
  public static CatalogView empty() {
    return EMPTY;
  }

  /**
   * Returns the version of the catalog.
   *
   * @return the version, 0 before the first catalog
   */
  public long version() {
    return catalog.getVersion();
  }

  /**
   * Finds the queue of a host with the longest path prefix that matches a path.
   *
   * @param host host of the call, with or without a port, in any case
   * @param path path of the call
   * @return the queue, or empty if none matches
   */
  public Optional<Queue> findQueue(String host, String path) {
    requireNonNull(path, "path is null");
    for (Queue queue : queuesByHost.getOrDefault(normalizeHost(host), List.of())) {
      if (path.startsWith(queue.getPathPrefix())) {
        return Optional.of(queue);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the team that a key belongs to.
   *
   * @param key key of a team
   * @return name of the team, or empty if the key is unknown
   */
  public Optional<String> findTeamByKey(String key) {
    return Optional.ofNullable(teamNamesByKey.get(requireNonNull(key, "key is null")));
  }

  /**
   * Returns the number of accelerators that a team is guaranteed for its workflows of priority 0.
   *
   * @param team name of the team
   * @return the number, 0 for a team without a guarantee
   */
  public int guaranteedAccelerators(String team) {
    TeamEntitlement entitlement = teamsByName.get(requireNonNull(team, "team is null"));
    return entitlement == null ? 0 : entitlement.getGuaranteedAccelerators();
  }

  /**
   * Returns the quota of a team: the most that it may have running at a time.
   *
   * @param team name of the team
   * @return the quota; an amount of 0 is no limit, and a team without a quota has no limit at all
   */
  public Resources teamQuota(String team) {
    TeamEntitlement entitlement = teamsByName.get(requireNonNull(team, "team is null"));
    return entitlement == null ? Resources.NONE : Resources.of(entitlement.getQuota());
  }

  /**
   * Returns the names of the teams.
   *
   * @return the names in the order of the catalog
   */
  public List<String> teamNames() {
    return catalog.getTeamsList().stream().map(TeamEntitlement::getName).distinct().toList();
  }

  /**
   * Returns the weight of a team, relative to other teams, where its use is compared with theirs.
   *
   * @param team name of the team
   * @return the weight, which is positive; 1 for a team that declares none
   */
  public double teamWeight(String team) {
    TeamEntitlement entitlement = teamsByName.get(requireNonNull(team, "team is null"));
    return entitlement == null || entitlement.getWeight() <= 0
        ? DEFAULT_TEAM_WEIGHT
        : entitlement.getWeight();
  }

  /**
   * Returns whether the catalog names a service.
   *
   * @param service name of the service
   * @return true if the catalog declares it
   */
  public boolean hasService(String service) {
    return servicesByName.containsKey(requireNonNull(service, "service is null"));
  }

  /**
   * Returns whether the minions of a service check their own capacity.
   *
   * @param service name of the service
   * @return true if they reject a start that exceeds their capacity
   */
  public boolean hasAdmissionCheck(String service) {
    ServicePolicy policy = servicesByName.get(requireNonNull(service, "service is null"));
    return policy != null && policy.getAdmissionCheck();
  }

  /**
   * Returns the current version of the queue of a workflow that was accepted earlier.
   *
   * @param acceptedQueue the queue at the time of acceptance
   * @return the queue that now has the same host and path prefix, or {@code acceptedQueue} if there
   *     is none
   */
  public Queue currentQueue(Queue acceptedQueue) {
    requireNonNull(acceptedQueue, "acceptedQueue is null");
    return queuesByAddress.getOrDefault(QueueAddress.of(acceptedQueue), acceptedQueue);
  }

  /** Returns a host in lower case without its port. */
  static String normalizeHost(String host) {
    requireNonNull(host, "host is null");
    int colon = host.lastIndexOf(':');
    String hostname = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    return hostname.toLowerCase(Locale.ROOT);
  }

  /** Where the calls of a queue arrive. No two queues of a catalog have the same address. */
  private record QueueAddress(String normalizedHost, String pathPrefix) {

    static QueueAddress of(Queue queue) {
      return new QueueAddress(normalizeHost(queue.getHost()), queue.getPathPrefix());
    }
  }
}
