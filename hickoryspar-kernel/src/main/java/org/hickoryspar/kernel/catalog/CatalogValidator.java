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
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;

/** Validates a catalog before it is accepted. */
public final class CatalogValidator {

  /** Maximum ratio of the completion target of a workflow to its critical path. */
  private static final double MAX_STRETCH = 1_000;

  /** Maximum constant part of a completion target: ten years. */
  private static final long MAX_DURATION_MILLIS = 3_650L * 24 * 60 * 60 * 1_000;

  /** Maximum weight of a team; ratios of weights remain exact. */
  private static final double MAX_WEIGHT = 1e12;

  private CatalogValidator() {}

  /**
   * Checks that the version is at least 1, that services have distinct names, that queues refer to
   * existing services, have a timeout and a completion target within limits and differ in host or
   * path prefix, that no two teams have a key in common, that weights are not negative and that no
   * quota is below the guarantee of its team.
   *
   * @param catalog the catalog
   * @return the first violation, with the code {@code "invalid-catalog"}, or empty if the catalog
   *     is valid
   */
  public static Optional<Problem> validate(Catalog catalog) {
    requireNonNull(catalog, "catalog is null");
    if (catalog.getVersion() == 0) {
      return invalid("expected a catalog version of at least 1");
    }
    return validateServices(catalog)
        .or(() -> validateQueues(catalog))
        .or(() -> validateTeams(catalog));
  }

  private static Optional<Problem> validateServices(Catalog catalog) {
    Set<String> names = new HashSet<>();
    for (ServicePolicy service : catalog.getServicesList()) {
      if (service.getName().isEmpty() || !names.add(service.getName())) {
        return invalid(
            "expected distinct, non-empty service names, found \"" + service.getName() + '"');
      }
    }
    return Optional.empty();
  }

  private static Optional<Problem> validateQueues(Catalog catalog) {
    Set<String> serviceNames = new HashSet<>();
    catalog.getServicesList().forEach(service -> serviceNames.add(service.getName()));
    Map<String, String> queueNameByHostAndPrefix = new HashMap<>();
    for (Queue queue : catalog.getQueuesList()) {
      if (!serviceNames.contains(queue.getService())) {
        return invalid(
            "queue " + queue.getName() + " refers to the unknown service " + queue.getService());
      }
      if (queue.getTimeoutMillis() == 0) {
        return invalid("queue " + queue.getName() + " has a timeout of 0 ms");
      }
      if (queue.getStretch() > MAX_STRETCH
          || queue.getTargetCompletionMillis() > MAX_DURATION_MILLIS) {
        return invalid("queue " + queue.getName() + " has a completion target out of range");
      }
      String hostAndPrefix =
          CatalogView.normalizeHost(queue.getHost()) + ' ' + queue.getPathPrefix();
      String existing = queueNameByHostAndPrefix.put(hostAndPrefix, queue.getName());
      if (existing != null) {
        return invalid(
            "queues "
                + existing
                + " and "
                + queue.getName()
                + " have the same host and path prefix "
                + hostAndPrefix);
      }
    }
    return Optional.empty();
  }

  private static Optional<Problem> validateTeams(Catalog catalog) {
    Map<String, String> teamNameByKey = new HashMap<>();
    for (TeamEntitlement team : catalog.getTeamsList()) {
      for (String key : team.getKeysList()) {
        String existing = teamNameByKey.put(key, team.getName());
        if (existing != null && !existing.equals(team.getName())) {
          return invalid("teams " + existing + " and " + team.getName() + " share a key");
        }
      }
      Optional<Problem> problem = validateEntitlement(team);
      if (problem.isPresent()) {
        return problem;
      }
    }
    return Optional.empty();
  }

  // An absent weight is 0. Unsigned fields hold amounts above the largest signed one as negative.
  private static Optional<Problem> validateEntitlement(TeamEntitlement team) {
    if (!(team.getWeight() >= 0 && team.getWeight() <= MAX_WEIGHT)) {
      return invalid(
          "team " + team.getName() + " has the weight " + team.getWeight() + " out of range");
    }
    TaskDemand quota = team.getQuota();
    if (quota.getCpuMillicores() < 0
        || quota.getMemoryMegabytes() < 0
        || quota.getAccelerators() < 0) {
      return invalid("team " + team.getName() + " has a negative quota");
    }
    if (quota.getAccelerators() > 0 && quota.getAccelerators() < team.getGuaranteedAccelerators()) {
      return invalid(
          "team "
              + team.getName()
              + " has a quota of "
              + quota.getAccelerators()
              + " accelerators, fewer than the "
              + team.getGuaranteedAccelerators()
              + " that it is guaranteed");
    }
    return Optional.empty();
  }

  private static Optional<Problem> invalid(String message) {
    return Optional.of(Problem.of("invalid-catalog", message));
  }
}
