package org.hickoryspar.kernel.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.hickoryspar.protocol.InventoryUpdate;
import org.hickoryspar.protocol.WorkerInfo;

/** Stores the workers as last reported by the platform. */
final class WorkerTable {

  private final TreeMap<String, WorkerInfo> workers = new TreeMap<>();

  synchronized void update(InventoryUpdate update) {
    for (WorkerInfo worker : update.getUpsertsList()) {
      workers.put(worker.getId(), worker);
    }
    for (String removed : update.getRemovedList()) {
      workers.remove(removed);
    }
  }

  synchronized Optional<WorkerInfo> find(String workerId) {
    return Optional.ofNullable(workers.get(workerId));
  }

  synchronized List<WorkerInfo> snapshot() {
    return new ArrayList<>(workers.values());
  }

  synchronized void restore(List<WorkerInfo> snapshot) {
    workers.clear();
    for (WorkerInfo worker : snapshot) {
      workers.put(worker.getId(), worker);
    }
  }
}
