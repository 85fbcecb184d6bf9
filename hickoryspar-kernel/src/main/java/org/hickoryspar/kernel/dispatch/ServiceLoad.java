package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The share of the capacity of each service that is in use. Valid for one planning round. */
final class ServiceLoad {

  private final Map<String, Double> capacityByService = new HashMap<>();
  private final Map<String, Double> usedByService = new HashMap<>();

  ServiceLoad(Collection<Minion> minions) {
    for (Minion minion : minions) {
      if (!minion.isProvisional() && !minion.isLeaving()) {
        double capacity = PreemptionCost.weightedCores(minion.capacity());
        double used = PreemptionCost.weightedCores(minion.allocated());
        capacityByService.merge(minion.service(), capacity, Double::sum);
        usedByService.merge(minion.service(), used, Double::sum);
      }
    }
  }

  /** Returns the capacity in use in percent, 100 for a service without minions. */
  int usedPercent(String service) {
    double capacity = capacityByService.getOrDefault(service, 0.0);
    double used = usedByService.getOrDefault(service, 0.0);
    return capacity <= 0 ? 100 : (int) Math.round(100 * used / capacity);
  }
}
