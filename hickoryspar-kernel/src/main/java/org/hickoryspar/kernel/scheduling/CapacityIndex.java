package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntPredicate;

/**
 * Amounts per worker, with the workers and racks ordered by their accelerators.
 *
 * <p>Each change costs the same whatever the number of workers. An amount may become negative when
 * more is promised than the worker has at the moment; nothing fits there then.
 */
final class CapacityIndex {

  /** Bound of {@link #count}, so that sums of counts cannot overflow. */
  private static final int MOST_TASKS = 1 << 16;

  private int[] cores = new int[64];
  private int[] memory = new int[64];
  private int[] accelerators = new int[64];
  private int[] rackOf = new int[64];
  private int[] rackAccelerators = new int[16];
  private final BitSet usable = new BitSet();
  private final List<BitSet> workersByAccelerators = new ArrayList<>();
  private final List<BitSet> racksByAccelerators = new ArrayList<>();

  void define(int worker, int rack) {
    while (worker >= cores.length) {
      int size = cores.length * 2;
      cores = Arrays.copyOf(cores, size);
      memory = Arrays.copyOf(memory, size);
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
    change(worker, perTask, tasks);
  }

  void take(int worker, ResourceVector perTask, int tasks) {
    change(worker, perTask, -tasks);
  }

  private void change(int worker, ResourceVector perTask, int tasks) {
    boolean listed = usable.get(worker) && perTask.accelerators() != 0;
    if (listed) {
      unlist(worker);
    }
    cores[worker] += perTask.cores() * tasks;
    memory[worker] += perTask.memoryMegabytes() * tasks;
    accelerators[worker] += perTask.accelerators() * tasks;
    if (listed) {
      list(worker);
    }
  }

  void setUsable(int worker, boolean now) {
    if (usable.get(worker) == now) {
      return;
    }
    if (now) {
      usable.set(worker);
      list(worker);
    } else {
      unlist(worker);
      usable.clear(worker);
    }
  }

  boolean isUsable(int worker) {
    return usable.get(worker);
  }

  /** Returns whether more than the worker's amount has been taken. */
  boolean isOverdrawn(int worker) {
    return cores[worker] < 0 || memory[worker] < 0 || accelerators[worker] < 0;
  }

  int cores(int worker) {
    return cores[worker];
  }

  int memoryMegabytes(int worker) {
    return memory[worker];
  }

  int accelerators(int worker) {
    return accelerators[worker];
  }

  /** Returns how many tasks fit on a worker. */
  int count(int worker, ResourceVector perTask) {
    if (!usable.get(worker)) {
      return 0;
    }
    int most = MOST_TASKS;
    most = least(most, cores[worker], perTask.cores());
    most = least(most, memory[worker], perTask.memoryMegabytes());
    return least(most, accelerators[worker], perTask.accelerators());
  }

  private static int least(int most, int available, int need) {
    if (need == 0) {
      return most;
    }
    return available <= 0 ? 0 : Math.min(most, available / need);
  }

  /** Visits usable workers by ascending accelerators until the visitor returns false. */
  boolean visitWorkers(int leastAccelerators, IntPredicate visitor) {
    return visit(workersByAccelerators, leastAccelerators, visitor);
  }

  /** Visits racks by ascending accelerators until the visitor returns false. */
  boolean visitRacks(int leastAccelerators, IntPredicate visitor) {
    return visit(racksByAccelerators, leastAccelerators, visitor);
  }

  /** Visits usable workers by descending accelerators until the visitor returns false. */
  boolean visitWorkersDescending(int leastAccelerators, IntPredicate visitor) {
    for (int a = workersByAccelerators.size() - 1; a >= leastAccelerators; a--) {
      if (!visit(workersByAccelerators.get(a), visitor)) {
        return false;
      }
    }
    return true;
  }

  /** Visits racks by descending accelerators until the visitor returns false. */
  boolean visitRacksDescending(IntPredicate visitor) {
    for (int a = racksByAccelerators.size() - 1; a >= 0; a--) {
      if (!visit(racksByAccelerators.get(a), visitor)) {
        return false;
      }
    }
    return true;
  }

  private static boolean visit(List<BitSet> sets, int least, IntPredicate visitor) {
    for (int a = least; a < sets.size(); a++) {
      if (!visit(sets.get(a), visitor)) {
        return false;
      }
    }
    return true;
  }

  private static boolean visit(BitSet set, IntPredicate visitor) {
    for (int member = set.nextSetBit(0); member >= 0; member = set.nextSetBit(member + 1)) {
      if (!visitor.test(member)) {
        return false;
      }
    }
    return true;
  }

  private void list(int worker) {
    int amount = Math.max(0, accelerators[worker]);
    bucket(workersByAccelerators, amount).set(worker);
    moveRack(rackOf[worker], amount);
  }

  private void unlist(int worker) {
    int amount = Math.max(0, accelerators[worker]);
    bucket(workersByAccelerators, amount).clear(worker);
    moveRack(rackOf[worker], -amount);
  }

  private void moveRack(int rack, int change) {
    bucket(racksByAccelerators, rackAccelerators[rack]).clear(rack);
    rackAccelerators[rack] += change;
    bucket(racksByAccelerators, rackAccelerators[rack]).set(rack);
  }

  private static BitSet bucket(List<BitSet> sets, int amount) {
    while (sets.size() <= amount) {
      sets.add(new BitSet());
    }
    return sets.get(amount);
  }
}
