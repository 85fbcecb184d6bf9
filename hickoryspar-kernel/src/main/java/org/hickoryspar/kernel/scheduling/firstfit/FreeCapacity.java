package org.hickoryspar.kernel.scheduling.firstfit;

import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;

/** A worker and the resources on it that no gang holds. */
final class FreeCapacity {

  private final WorkerState worker;
  private int cores;
  private int memoryMegabytes;
  private int accelerators;

  FreeCapacity(WorkerState worker, ResourceVector held) {
    this.worker = worker;
    cores = worker.capacity().cores() - held.cores();
    memoryMegabytes = worker.capacity().memoryMegabytes() - held.memoryMegabytes();
    accelerators = worker.capacity().accelerators() - held.accelerators();
  }

  WorkerState worker() {
    return worker;
  }

  void subtract(ResourceVector perTask, int count) {
    cores -= perTask.cores() * count;
    memoryMegabytes -= perTask.memoryMegabytes() * count;
    accelerators -= perTask.accelerators() * count;
  }

  /** Returns how many tasks fit, at most {@code limit}. */
  int countFitting(ResourceVector perTask, int limit) {
    int count = limit;
    count = Math.min(count, countForResource(cores, perTask.cores(), limit));
    count = Math.min(count, countForResource(memoryMegabytes, perTask.memoryMegabytes(), limit));
    return Math.min(count, countForResource(accelerators, perTask.accelerators(), limit));
  }

  /** Returns 0 for a negative amount, which occurs if the capacity shrinks below what is held. */
  private static int countForResource(int free, int required, int limit) {
    if (free < 0) {
      return 0;
    }
    return required == 0 ? limit : free / required;
  }
}
