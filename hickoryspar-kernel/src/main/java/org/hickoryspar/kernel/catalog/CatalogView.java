package org.hickoryspar.kernel.catalog;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TeamEntitlement;

/**
 * A catalog with indexes for the questions that each call asks. Immutable.
 *
 * <pre>{@code
 * Optional<Queue> queue = view.findQueue("jobs.example", "/preview/5c0e7a21d94b36f8");
 * }</pre>
 */
public final class CatalogView {

  private static final CatalogView EMPTY = new CatalogView(Catalog.getDefaultInstance());

  private final Catalog catalog;
  private final Map<String, List<Queue>> queuesByHost = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final Map<String, TeamEntitlement> teams = new HashMap<>();
  private final Map<String, String> teamsByKey = new HashMap<>();

  private CatalogView(Catalog catalog) {
    this.catalog = catalog;
    for (Queue queue : catalog.getQueuesList()) {
      queuesByHost
          .computeIfAbsent(normalHost(queue.getHost()), host -> new ArrayList<>())
          .add(queue);
    }
    Comparator<Queue> longestFirst =
        Comparator.comparingInt((Queue queue) -> queue.getPathPrefix().length()).reversed();
    queuesByHost.values().forEach(queues -> queues.sort(longestFirst));
    catalog.getServicesList().forEach(service -> services.put(service.getName(), service));
    for (TeamEntitlement team : catalog.getTeamsList()) {
      teams.put(team.getName(), team);
      team.getKeysList().forEach(key -> teamsByKey.put(key, team.getName()));
    }
  }

  /**
   * Returns the view of a valid catalog.
   *
   * @param catalog the catalog
   * @return its view
   */
  public static CatalogView of(Catalog catalog) {
    return new CatalogView(requireNonNull(catalog, "catalog is null"));
  }

  /**
   * Returns the view of a catalog without queues, of version 0.
   *
   * @return the empty view
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
   * Finds the queue with the longest prefix that a path begins with.
   *
   * @param host host that the caller named, with or without a port
   * @param path path of the call
   * @return the queue, or empty
   */
  public Optional<Queue> findQueue(String host, String path) {
    requireNonNull(path, "path is null");
    for (Queue queue : queuesByHost.getOrDefault(normalHost(host), List.of())) {
      if (path.startsWith(queue.getPathPrefix())) {
        return Optional.of(queue);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the team that a key belongs to.
   *
   * @param key the key
   * @return name of the team, or empty
   */
  public Optional<String> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKey.get(requireNonNull(key, "key is null")));
  }

  /**
   * Returns how many accelerators a team is guaranteed for its work of priority 0.
   *
   * @param team name of the team
   * @return the number, 0 for a team without a guarantee
   */
  public int guaranteedAccelerators(String team) {
    TeamEntitlement entitlement = teams.get(requireNonNull(team, "team is null"));
    return entitlement == null ? 0 : entitlement.getGuaranteedAccelerators();
  }

  /**
   * Returns whether the minions of a service check their capacity themselves.
   *
   * @param service name of the service
   * @return true if they reject a start that exceeds their capacity
   */
  public boolean hasAdmissionCheck(String service) {
    ServicePolicy policy = services.get(requireNonNull(service, "service is null"));
    return policy != null && policy.getAdmissionCheck();
  }

  /**
   * Returns the queue in force for work that was accepted earlier.
   *
   * @param accepted the queue as it was when the work was accepted
   * @return the queue that has the same host and prefix now, or the earlier one
   */
  public Queue current(Queue accepted) {
    requireNonNull(accepted, "accepted is null");
    for (Queue queue : queuesByHost.getOrDefault(normalHost(accepted.getHost()), List.of())) {
      if (queue.getPathPrefix().equals(accepted.getPathPrefix())) {
        return queue;
      }
    }
    return accepted;
  }

  /** Returns a host without port, in lower case. */
  static String normalHost(String host) {
    requireNonNull(host, "host is null");
    int colon = host.lastIndexOf(':');
    String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
