package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * A worker as reported by the platform.
 *
 * @param workerId identifier, unique in the cluster
 * @param rack the rack that holds the worker
 * @param dataCentre the data centre that holds the rack
 * @param capacity total resources of the worker
 * @param available false while the worker is silent; no gang is placed on it then
 */
public record WorkerState(
    String workerId, String rack, String dataCentre, ResourceVector capacity, boolean available) {

  /**
   * Rejects null components.
   *
   * @throws NullPointerException if a component is null
   */
  public WorkerState {
    requireNonNull(workerId, "workerId is null");
    requireNonNull(rack, "rack is null");
    requireNonNull(dataCentre, "dataCentre is null");
    requireNonNull(capacity, "capacity is null");
  }
}
