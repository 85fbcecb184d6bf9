package org.hickoryspar.kernel.scheduling;

import com.google.common.primitives.Ints;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Assigns dense numbers to workers and indexes the remaining capacity of each.
 *
 * <p>{@link #free()} excludes what gangs hold and what is reserved for pending placements. {@link
 * #uncommitted()} ignores preemptible work, and excludes non-preemptible work and what is planned
 * for guarantees. {@link #freeAfterPreemption()} is what would be free if every gang that may be
 * preempted had ended.
 */
final class Fleet {

  private static final int[] NO_WORKERS = {};

  private final CapacityIndex free = new CapacityIndex();
  private final CapacityIndex uncommitted = new CapacityIndex();
  private final CapacityIndex freeAfterPreemption = new CapacityIndex();
  private final Map<String, Integer> numbersByWorkerId = new HashMap<>();
  private final List<@Nullable WorkerState> states = new ArrayList<>();
  private final List<String> workerIds = new ArrayList<>();
  private final Deque<Integer> recycledNumbers = new ArrayDeque<>();
  private final Map<String, Integer> rackNumbers = new HashMap<>();
  private final List<int[]> workersOfRack = new ArrayList<>();
  private final List<String> rackNames = new ArrayList<>();
  private final List<String> dataCentreOfRack = new ArrayList<>();
  private int[] referenceCounts = new int[64];
  private int[] rackOf = new int[64];
  private Set<String> dataCentresOut = Set.of();
  private Set<String> workersOut = Set.of();
  private long totalCores;
  private long totalMemoryMegabytes;
  private long totalAccelerators;

  CapacityIndex free() {
    return free;
  }

  CapacityIndex uncommitted() {
    return uncommitted;
  }

  CapacityIndex freeAfterPreemption() {
    return freeAfterPreemption;
  }

  /**
   * Returns the sum of the capacities of the known workers. Each component saturates at {@code
   * Integer.MAX_VALUE}, because the memory of 1,700 workers with 2 TB each exceeds an int.
   */
  ResourceVector totalCapacity() {
    return new ResourceVector(
        Ints.saturatedCast(totalCores),
        Ints.saturatedCast(totalMemoryMegabytes),
        Ints.saturatedCast(totalAccelerators));
  }

  /** Adds or replaces a worker and returns its number. */
  int put(WorkerState worker) {
    Integer existing = numbersByWorkerId.get(worker.workerId());
    int number = existing == null ? allocateNumber(worker.workerId()) : existing;
    WorkerState previous = states.get(number);
    int rack = rackNumber(worker);
    if (previous != null) {
      addCapacity(number, previous.capacity(), -1);
    }
    if (previous == null || rackOf[number] != rack) {
      moveToRack(number, rack, previous != null);
    }
    states.set(number, worker);
    addCapacity(number, worker.capacity(), 1);
    return number;
  }

  /** Removes a worker; its number is recycled once nothing refers to it. */
  void remove(int number) {
    WorkerState previous = states.get(number);
    if (previous == null) {
      return;
    }
    free.setUsable(number, false);
    uncommitted.setUsable(number, false);
    freeAfterPreemption.setUsable(number, false);
    addCapacity(number, previous.capacity(), -1);
    states.set(number, null);
    removeFromRack(number);
    recycleIfUnreferenced(number);
  }

  /** Increments the reference count of a worker number. */
  void retain(int number) {
    referenceCounts[number]++;
  }

  /** Decrements the reference count of a worker number. */
  void release(int number) {
    referenceCounts[number]--;
    recycleIfUnreferenced(number);
  }

  void setOutOfService(Set<String> dataCentres, Set<String> workers) {
    dataCentresOut = dataCentres;
    workersOut = workers;
  }

  /** Returns whether a worker is available and not taken out of service by operators. */
  boolean isInService(int number) {
    WorkerState state = states.get(number);
    return state != null
        && state.available()
        && !dataCentresOut.contains(state.dataCentre())
        && !workersOut.contains(state.workerId());
  }

  void setUsable(int number, boolean usable) {
    setUsable(number, usable, usable);
  }

  /**
   * Sets whether gangs may start on a worker, and whether it is reliable, so that guarantees and
   * non-preemptible work may use it.
   */
  void setUsable(int number, boolean usable, boolean reliable) {
    free.setUsable(number, usable);
    uncommitted.setUsable(number, reliable);
    freeAfterPreemption.setUsable(number, reliable);
  }

  @Nullable Integer find(String workerId) {
    return numbersByWorkerId.get(workerId);
  }

  /** Returns the number of a worker, allocating one if it is not known yet. */
  int findOrAllocate(String workerId) {
    Integer existing = numbersByWorkerId.get(workerId);
    return existing == null ? allocateNumber(workerId) : existing;
  }

  String workerId(int number) {
    return workerIds.get(number);
  }

  @Nullable WorkerState state(int number) {
    return states.get(number);
  }

  /** Returns the exclusive upper bound of worker numbers. */
  int workerNumberLimit() {
    return states.size();
  }

  int rackCount() {
    return workersOfRack.size();
  }

  int rackOf(int number) {
    return rackOf[number];
  }

  int[] workersOfRack(int rack) {
    return workersOfRack.get(rack);
  }

  String rackName(int rack) {
    return rackNames.get(rack);
  }

  String dataCentreOfRack(int rack) {
    return dataCentreOfRack.get(rack);
  }

  List<String> workerIds(int[] numbers) {
    return Arrays.stream(numbers).mapToObj(workerIds::get).toList();
  }

  private int allocateNumber(String workerId) {
    Integer recycled = recycledNumbers.poll();
    int number = recycled == null ? states.size() : recycled;
    if (recycled == null) {
      states.add(null);
      workerIds.add(workerId);
      if (number >= referenceCounts.length) {
        referenceCounts = Arrays.copyOf(referenceCounts, number * 2);
        rackOf = Arrays.copyOf(rackOf, number * 2);
      }
    }
    workerIds.set(number, workerId);
    rackOf[number] = rackNumber("", "");
    free.register(number, rackOf[number]);
    uncommitted.register(number, rackOf[number]);
    freeAfterPreemption.register(number, rackOf[number]);
    numbersByWorkerId.put(workerId, number);
    return number;
  }

  private void recycleIfUnreferenced(int number) {
    if (states.get(number) == null && referenceCounts[number] == 0) {
      numbersByWorkerId.remove(workerIds.get(number));
      recycledNumbers.add(number);
    }
  }

  private int rackNumber(WorkerState worker) {
    return rackNumber(worker.dataCentre(), worker.rack());
  }

  private int rackNumber(String dataCentre, String rack) {
    return rackNumbers.computeIfAbsent(
        dataCentre + '/' + rack,
        key -> {
          workersOfRack.add(NO_WORKERS);
          rackNames.add(rack);
          dataCentreOfRack.add(dataCentre);
          return workersOfRack.size() - 1;
        });
  }

  private void moveToRack(int number, int rack, boolean wasInRack) {
    if (wasInRack) {
      removeFromRack(number);
    }
    rackOf[number] = rack;
    workersOfRack.set(rack, Ints.concat(workersOfRack.get(rack), new int[] {number}));
    free.register(number, rack);
    uncommitted.register(number, rack);
    freeAfterPreemption.register(number, rack);
  }

  private void removeFromRack(int number) {
    int rack = rackOf[number];
    workersOfRack.set(
        rack, Arrays.stream(workersOfRack.get(rack)).filter(n -> n != number).toArray());
  }

  private void addCapacity(int number, ResourceVector capacity, int sign) {
    if (sign > 0) {
      free.add(number, capacity, 1);
      uncommitted.add(number, capacity, 1);
      freeAfterPreemption.add(number, capacity, 1);
    } else {
      free.subtract(number, capacity, 1);
      uncommitted.subtract(number, capacity, 1);
      freeAfterPreemption.subtract(number, capacity, 1);
    }
    totalCores += (long) sign * capacity.cores();
    totalMemoryMegabytes += (long) sign * capacity.memoryMegabytes();
    totalAccelerators += (long) sign * capacity.accelerators();
  }
}
