package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.value.Resources;

/**
 * The share of the capacity of each service that is in use. Valid for one planning round. All known
 * minions count but those that have announced their end or are known only from an old report.
 */
final class ServiceLoad {

  private final Map<String, Resources> capacityByService = new HashMap<>();
  private final Map<String, Resources> usedByService = new HashMap<>();

  ServiceLoad(Collection<Minion> minions) {
    for (Minion minion : minions) {
      if (!minion.isProvisional() && !minion.isLeaving()) {
        capacityByService.merge(minion.service(), minion.capacity(), Resources::plus);
        usedByService.merge(minion.service(), minion.allocated(), Resources::plus);
      }
    }
  }

  /** Adds the demand of a task that is placed in this round. */
  void recordStart(String service, Resources demand) {
    usedByService.merge(service, demand, Resources::plus);
  }

  /**
   * Returns how much is in use of the resource that is the scarcest, in percent; 100 for a service
   * without minions.
   */
  int usedPercent(String service) {
    Resources capacity = capacityByService.getOrDefault(service, Resources.NONE);
    if (capacity.equals(Resources.NONE)) {
      return 100;
    }
    Resources used = usedByService.getOrDefault(service, Resources.NONE);
    long cpuPercent = percent(used.cpuMillicores(), capacity.cpuMillicores());
    long memoryPercent = percent(used.memoryMegabytes(), capacity.memoryMegabytes());
    long acceleratorPercent = percent(used.accelerators(), capacity.accelerators());
    return (int) Math.max(acceleratorPercent, Math.max(cpuPercent, memoryPercent));
  }

  private static long percent(long part, long whole) {
    return whole == 0 ? 0 : 100 * part / whole;
  }
}
