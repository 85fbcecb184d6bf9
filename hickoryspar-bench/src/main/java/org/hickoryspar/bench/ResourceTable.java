package org.hickoryspar.bench;

import org.hickoryspar.kernel.scheduling.ResourceVector;

/** Resources of each worker of a fleet, by the index of the worker. Amounts may be negative. */
final class ResourceTable {

  private final int[] cores;
  private final int[] memoryMegabytes;
  private final int[] accelerators;

  ResourceTable(int workers) {
    this(new int[workers], new int[workers], new int[workers]);
  }

  private ResourceTable(int[] cores, int[] memoryMegabytes, int[] accelerators) {
    this.cores = cores;
    this.memoryMegabytes = memoryMegabytes;
    this.accelerators = accelerators;
  }

  ResourceTable copy() {
    return new ResourceTable(cores.clone(), memoryMegabytes.clone(), accelerators.clone());
  }

  int size() {
    return cores.length;
  }

  int accelerators(int worker) {
    return Math.max(0, accelerators[worker]);
  }

  /** Adds a multiple of resources; a negative multiple subtracts them. */
  void add(int worker, ResourceVector resources, int times) {
    cores[worker] += resources.cores() * times;
    memoryMegabytes[worker] += resources.memoryMegabytes() * times;
    accelerators[worker] += resources.accelerators() * times;
  }

  void clear(int worker) {
    cores[worker] = 0;
    memoryMegabytes[worker] = 0;
    accelerators[worker] = 0;
  }

  /** Reduces each amount to at most that of another table. */
  void limitTo(ResourceTable other) {
    for (int i = 0; i < cores.length; i++) {
      cores[i] = Math.min(cores[i], other.cores[i]);
      memoryMegabytes[i] = Math.min(memoryMegabytes[i], other.memoryMegabytes[i]);
      accelerators[i] = Math.min(accelerators[i], other.accelerators[i]);
    }
  }

  boolean isOvercommitted(int worker) {
    return cores[worker] < 0 || memoryMegabytes[worker] < 0 || accelerators[worker] < 0;
  }

  /** Returns how many tasks fit on a worker, at most {@code limit}. */
  int countFitting(int worker, ResourceVector perTask, int limit) {
    if (isOvercommitted(worker)) {
      return 0;
    }
    int count = limit;
    if (perTask.cores() > 0) {
      count = Math.min(count, cores[worker] / perTask.cores());
    }
    if (perTask.memoryMegabytes() > 0) {
      count = Math.min(count, memoryMegabytes[worker] / perTask.memoryMegabytes());
    }
    if (perTask.accelerators() > 0) {
      count = Math.min(count, accelerators[worker] / perTask.accelerators());
    }
    return count;
  }
}
