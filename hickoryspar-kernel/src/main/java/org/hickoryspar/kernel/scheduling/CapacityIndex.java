package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Capacity of each worker, with usable workers and their racks bucketed by accelerators.
 *
 * <p>An update takes constant time. The capacity of a worker becomes negative when the worker is
 * overcommitted, for example after its total capacity has shrunk; no task fits then.
 */
final class CapacityIndex {

  /** Upper bound of {@link #countFitting}, so that sums of counts cannot overflow. */
  private static final int MAX_TASKS = 1 << 16;

  private int[] cores = new int[64];
  private int[] memoryMegabytes = new int[64];
  private int[] accelerators = new int[64];
  private int[] rackOf = new int[64];
  private int[] rackAccelerators = new int[16];
  private final BitSet usableWorkers = new BitSet();
  private final List<BitSet> workersByAccelerators = new ArrayList<>();
  private final List<BitSet> racksByAccelerators = new ArrayList<>();

  void register(int worker, int rack) {
    while (worker >= cores.length) {
      int size = cores.length * 2;
      cores = Arrays.copyOf(cores, size);
      memoryMegabytes = Arrays.copyOf(memoryMegabytes, size);
      accelerators = Arrays.copyOf(accelerators, size);
      rackOf = Arrays.copyOf(rackOf, size);
    }
    while (rack >= rackAccelerators.length) {
      rackAccelerators = Arrays.copyOf(rackAccelerators, rackAccelerators.length * 2);
    }
    setUsable(worker, false);
    rackOf[worker] = rack;
  }

  void add(int worker, ResourceVector perTask, int tasks) {
    adjust(worker, perTask, tasks);
  }

  void subtract(int worker, ResourceVector perTask, int tasks) {
    adjust(worker, perTask, -tasks);
  }

  private void adjust(int worker, ResourceVector perTask, int tasks) {
    boolean indexed = usableWorkers.get(worker) && perTask.accelerators() != 0;
    if (indexed) {
      removeFromBuckets(worker);
    }
    cores[worker] += perTask.cores() * tasks;
    memoryMegabytes[worker] += perTask.memoryMegabytes() * tasks;
    accelerators[worker] += perTask.accelerators() * tasks;
    if (indexed) {
      addToBuckets(worker);
    }
  }

  void setUsable(int worker, boolean usable) {
    if (usableWorkers.get(worker) == usable) {
      return;
    }
    if (usable) {
      usableWorkers.set(worker);
      addToBuckets(worker);
    } else {
      removeFromBuckets(worker);
      usableWorkers.clear(worker);
    }
  }

  boolean isUsable(int worker) {
    return usableWorkers.get(worker);
  }

  /** Returns whether any resource of the worker is negative. */
  boolean isOvercommitted(int worker) {
    return cores[worker] < 0 || memoryMegabytes[worker] < 0 || accelerators[worker] < 0;
  }

  int cores(int worker) {
    return cores[worker];
  }

  int memoryMegabytes(int worker) {
    return memoryMegabytes[worker];
  }

  int accelerators(int worker) {
    return accelerators[worker];
  }

  /** Returns how many tasks fit on a worker, 0 if it is unusable. */
  int countFitting(int worker, ResourceVector perTask) {
    if (!usableWorkers.get(worker)) {
      return 0;
    }
    int count = MAX_TASKS;
    count = limitCount(count, cores[worker], perTask.cores());
    count = limitCount(count, memoryMegabytes[worker], perTask.memoryMegabytes());
    return limitCount(count, accelerators[worker], perTask.accelerators());
  }

  private static int limitCount(int count, int available, int required) {
    if (required == 0) {
      return count;
    }
    return available <= 0 ? 0 : Math.min(count, available / required);
  }

  /** Visits usable workers by ascending accelerators; returns false as soon as the visitor does. */
  boolean visitWorkers(int minAccelerators, IntPredicate visitor) {
    return visit(workersByAccelerators, minAccelerators, visitor);
  }

  /** Visits racks by ascending accelerators; returns false as soon as the visitor does. */
  boolean visitRacks(int minAccelerators, IntPredicate visitor) {
    return visit(racksByAccelerators, minAccelerators, visitor);
  }

  /**
   * Visits usable workers by descending accelerators; returns false as soon as the visitor does.
   */
  boolean visitWorkersDescending(int minAccelerators, IntPredicate visitor) {
    for (int amount = workersByAccelerators.size() - 1; amount >= minAccelerators; amount--) {
      if (!visit(workersByAccelerators.get(amount), visitor)) {
        return false;
      }
    }
    return true;
  }

  /** Visits racks by descending accelerators; returns false as soon as the visitor does. */
  boolean visitRacksDescending(IntPredicate visitor) {
    for (int amount = racksByAccelerators.size() - 1; amount >= 0; amount--) {
      if (!visit(racksByAccelerators.get(amount), visitor)) {
        return false;
      }
    }
    return true;
  }

  private static boolean visit(List<BitSet> buckets, int minAccelerators, IntPredicate visitor) {
    for (int amount = minAccelerators; amount < buckets.size(); amount++) {
      if (!visit(buckets.get(amount), visitor)) {
        return false;
      }
    }
    return true;
  }

  private static boolean visit(BitSet bucket, IntPredicate visitor) {
    for (int member = bucket.nextSetBit(0); member >= 0; member = bucket.nextSetBit(member + 1)) {
      if (!visitor.test(member)) {
        return false;
      }
    }
    return true;
  }

  private void addToBuckets(int worker) {
    int amount = Math.max(0, accelerators[worker]);
    bucket(workersByAccelerators, amount).set(worker);
    adjustRack(rackOf[worker], amount);
  }

  private void removeFromBuckets(int worker) {
    int amount = Math.max(0, accelerators[worker]);
    bucket(workersByAccelerators, amount).clear(worker);
    adjustRack(rackOf[worker], -amount);
  }

  private void adjustRack(int rack, int difference) {
    bucket(racksByAccelerators, rackAccelerators[rack]).clear(rack);
    rackAccelerators[rack] += difference;
    bucket(racksByAccelerators, rackAccelerators[rack]).set(rack);
  }

  private static BitSet bucket(List<BitSet> buckets, int amount) {
    while (buckets.size() <= amount) {
      buckets.add(new BitSet());
    }
    return buckets.get(amount);
  }
}
