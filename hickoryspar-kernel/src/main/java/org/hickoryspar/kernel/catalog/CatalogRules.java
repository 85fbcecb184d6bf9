package org.hickoryspar.kernel.catalog;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TeamEntitlement;

/** Checks a catalog before it is accepted. */
public final class CatalogRules {

  private CatalogRules() {}

  /**
   * Finds the first reason to refuse a catalog.
   *
   * @param catalog the catalog
   * @return a problem whose code is {@code "invalid-catalog"}, or empty when the catalog is valid
   */
  public static Optional<Problem> problemOf(Catalog catalog) {
    requireNonNull(catalog, "catalog is null");
    if (catalog.getVersion() == 0) {
      return invalid("expected a version of at least 1");
    }
    return problemOfServices(catalog)
        .or(() -> problemOfQueues(catalog))
        .or(() -> problemOfTeams(catalog));
  }

  private static Optional<Problem> problemOfServices(Catalog catalog) {
    Set<String> names = new HashSet<>();
    for (ServicePolicy service : catalog.getServicesList()) {
      if (service.getName().isEmpty() || !names.add(service.getName())) {
        return invalid("expected services with distinct names, found \"" + service.getName() + '"');
      }
    }
    return Optional.empty();
  }

  private static Optional<Problem> problemOfQueues(Catalog catalog) {
    Set<String> services = new HashSet<>();
    catalog.getServicesList().forEach(service -> services.add(service.getName()));
    Map<String, String> places = new HashMap<>();
    for (Queue queue : catalog.getQueuesList()) {
      if (!services.contains(queue.getService())) {
        return invalid(
            "queue " + queue.getName() + " names the unknown service " + queue.getService());
      }
      if (queue.getTimeoutMillis() == 0) {
        return invalid("queue " + queue.getName() + " has a time-out of 0 ms");
      }
      String place = CatalogView.normalHost(queue.getHost()) + ' ' + queue.getPathPrefix();
      String other = places.put(place, queue.getName());
      if (other != null) {
        return invalid(
            "queues " + other + " and " + queue.getName() + " share the host and prefix " + place);
      }
    }
    return Optional.empty();
  }

  private static Optional<Problem> problemOfTeams(Catalog catalog) {
    Map<String, String> owners = new HashMap<>();
    for (TeamEntitlement team : catalog.getTeamsList()) {
      for (String key : team.getKeysList()) {
        String other = owners.put(key, team.getName());
        if (other != null && !other.equals(team.getName())) {
          return invalid("teams " + other + " and " + team.getName() + " share a key");
        }
      }
    }
    return Optional.empty();
  }

  private static Optional<Problem> invalid(String message) {
    return Optional.of(Problem.of("invalid-catalog", message));
  }
}
