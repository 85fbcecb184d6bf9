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
 * The workers under small numbers, and what is left of each.
 *
 * <p>{@link #free()} is what nobody holds or has reserved. {@link #reclaimable()} is what is left
 * when all preemptible work is ignored and the plan of the guarantees is counted. {@link #open()}
 * is what is left when all gangs are preempted that may be.
 */
final class Fleet {

  private static final int[] NO_WORKERS = {};

  private final CapacityIndex free = new CapacityIndex();
  private final CapacityIndex reclaimable = new CapacityIndex();
  private final CapacityIndex open = new CapacityIndex();
  private final Map<String, Integer> numberOf = new HashMap<>();
  private final List<@Nullable WorkerState> states = new ArrayList<>();
  private final List<String> names = new ArrayList<>();
  private final Deque<Integer> unused = new ArrayDeque<>();
  private final Map<String, Integer> rackNumberOf = new HashMap<>();
  private final List<int[]> membersOfRack = new ArrayList<>();
  private final List<String> rackNames = new ArrayList<>();
  private final List<String> dataCentreOfRack = new ArrayList<>();
  private int[] holders = new int[64];
  private int[] rackOf = new int[64];
  private Set<String> dataCentresOut = Set.of();
  private Set<String> workersOut = Set.of();
  private long totalCores;
  private long totalMemoryMegabytes;
  private long totalAccelerators;

  CapacityIndex free() {
    return free;
  }

  CapacityIndex reclaimable() {
    return reclaimable;
  }

  CapacityIndex open() {
    return open;
  }

  /**
   * Returns the sum of the known workers' capacities; 1,700 workers with 2 TB each would exceed an
   * int, so each component stops at the largest one.
   */
  ResourceVector total() {
    return new ResourceVector(
        Ints.saturatedCast(totalCores),
        Ints.saturatedCast(totalMemoryMegabytes),
        Ints.saturatedCast(totalAccelerators));
  }

  /** Adds or changes a worker and returns its number. */
  int put(WorkerState worker) {
    Integer known = numberOf.get(worker.workerId());
    int number = known == null ? allocate(worker.workerId()) : known;
    WorkerState before = states.get(number);
    int rack = rackNumber(worker);
    if (before != null) {
      addCapacity(number, before.capacity(), -1);
    }
    if (before == null || rackOf[number] != rack) {
      moveToRack(number, rack, before != null);
    }
    states.set(number, worker);
    addCapacity(number, worker.capacity(), 1);
    return number;
  }

  /** Removes a worker; its number stays reserved while something is held on it. */
  void remove(int number) {
    WorkerState before = states.get(number);
    if (before == null) {
      return;
    }
    free.setUsable(number, false);
    reclaimable.setUsable(number, false);
    open.setUsable(number, false);
    addCapacity(number, before.capacity(), -1);
    states.set(number, null);
    leaveRack(number);
    releaseNumber(number);
  }

  /** Counts something that refers to the worker's number. */
  void hold(int number) {
    holders[number]++;
  }

  /** Ends a reference to the worker's number. */
  void unhold(int number) {
    holders[number]--;
    releaseNumber(number);
  }

  void setOut(Set<String> dataCentres, Set<String> workers) {
    dataCentresOut = dataCentres;
    workersOut = workers;
  }

  /** Returns whether a worker may be used as far as the platform and the operators say. */
  boolean isIn(int number) {
    WorkerState state = states.get(number);
    return state != null
        && state.available()
        && !dataCentresOut.contains(state.dataCentre())
        && !workersOut.contains(state.workerId());
  }

  /** Makes a worker usable or unusable. */
  void setUsable(int number, boolean usable) {
    setUsable(number, usable, usable);
  }

  /** Makes a worker usable or unusable, and says whether guarantees may rely on it. */
  void setUsable(int number, boolean usable, boolean reliable) {
    free.setUsable(number, usable);
    reclaimable.setUsable(number, reliable);
    open.setUsable(number, reliable);
  }

  @Nullable Integer find(String workerId) {
    return numberOf.get(workerId);
  }

  /** Returns the number of a worker, also of one that is not known yet. */
  int findOrReserve(String workerId) {
    Integer known = numberOf.get(workerId);
    return known == null ? allocate(workerId) : known;
  }

  String name(int number) {
    return names.get(number);
  }

  @Nullable WorkerState state(int number) {
    return states.get(number);
  }

  /** Returns a bound on worker numbers: all are below it. */
  int bound() {
    return states.size();
  }

  int racks() {
    return membersOfRack.size();
  }

  int rackOf(int number) {
    return rackOf[number];
  }

  int[] membersOfRack(int rack) {
    return membersOfRack.get(rack);
  }

  String rackName(int rack) {
    return rackNames.get(rack);
  }

  String dataCentreOfRack(int rack) {
    return dataCentreOfRack.get(rack);
  }

  List<String> names(int[] numbers) {
    return Arrays.stream(numbers).mapToObj(names::get).toList();
  }

  private int allocate(String workerId) {
    Integer reused = unused.poll();
    int number = reused == null ? states.size() : reused;
    if (reused == null) {
      states.add(null);
      names.add(workerId);
      if (number >= holders.length) {
        holders = Arrays.copyOf(holders, number * 2);
        rackOf = Arrays.copyOf(rackOf, number * 2);
      }
    }
    names.set(number, workerId);
    rackOf[number] = rackNumber("", "");
    free.define(number, rackOf[number]);
    reclaimable.define(number, rackOf[number]);
    open.define(number, rackOf[number]);
    numberOf.put(workerId, number);
    return number;
  }

  private void releaseNumber(int number) {
    if (states.get(number) == null && holders[number] == 0) {
      numberOf.remove(names.get(number));
      unused.add(number);
    }
  }

  private int rackNumber(WorkerState worker) {
    return rackNumber(worker.dataCentre(), worker.rack());
  }

  private int rackNumber(String dataCentre, String rack) {
    return rackNumberOf.computeIfAbsent(
        dataCentre + '/' + rack,
        key -> {
          membersOfRack.add(NO_WORKERS);
          rackNames.add(rack);
          dataCentreOfRack.add(dataCentre);
          return membersOfRack.size() - 1;
        });
  }

  private void moveToRack(int number, int rack, boolean listed) {
    if (listed) {
      leaveRack(number);
    }
    rackOf[number] = rack;
    membersOfRack.set(rack, Ints.concat(membersOfRack.get(rack), new int[] {number}));
    free.define(number, rack);
    reclaimable.define(number, rack);
    open.define(number, rack);
  }

  private void leaveRack(int number) {
    int rack = rackOf[number];
    membersOfRack.set(
        rack, Arrays.stream(membersOfRack.get(rack)).filter(n -> n != number).toArray());
  }

  private void addCapacity(int number, ResourceVector capacity, int sign) {
    if (sign > 0) {
      free.add(number, capacity, 1);
      reclaimable.add(number, capacity, 1);
      open.add(number, capacity, 1);
    } else {
      free.take(number, capacity, 1);
      reclaimable.take(number, capacity, 1);
      open.take(number, capacity, 1);
    }
    totalCores += (long) sign * capacity.cores();
    totalMemoryMegabytes += (long) sign * capacity.memoryMegabytes();
    totalAccelerators += (long) sign * capacity.accelerators();
  }
}
