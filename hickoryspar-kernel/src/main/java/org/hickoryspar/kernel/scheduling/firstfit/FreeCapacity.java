package org.hickoryspar.kernel.scheduling.firstfit;

import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;

/** The resources of one worker that no gang holds. */
final class FreeCapacity {

  private final WorkerState state;
  private int cores;
  private int memoryMegabytes;
  private int accelerators;

  FreeCapacity(WorkerState state, ResourceVector held) {
    this.state = state;
    cores = state.capacity().cores() - held.cores();
    memoryMegabytes = state.capacity().memoryMegabytes() - held.memoryMegabytes();
    accelerators = state.capacity().accelerators() - held.accelerators();
  }

  WorkerState state() {
    return state;
  }

  void hold(ResourceVector shape, int count) {
    cores -= shape.cores() * count;
    memoryMegabytes -= shape.memoryMegabytes() * count;
    accelerators -= shape.accelerators() * count;
  }

  /** Returns how many tasks of a shape fit, at most {@code limit}. */
  int countFitting(ResourceVector shape, int limit) {
    int count = limit;
    count = Math.min(count, quotient(cores, shape.cores(), limit));
    count = Math.min(count, quotient(memoryMegabytes, shape.memoryMegabytes(), limit));
    return Math.min(count, quotient(accelerators, shape.accelerators(), limit));
  }

  /** A worker whose capacity shrank below what is held has a negative remainder: nothing fits. */
  private static int quotient(int free, int needed, int limit) {
    if (free < 0) {
      return 0;
    }
    return needed == 0 ? limit : free / needed;
  }
}
