package org.hickoryspar.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;

/**
 * The workers of a simulated platform: the resources held by jobs, silent workers and data centres
 * out of service. Methods identify a worker by its index in the workload.
 */
final class SimulatedFleet {

  private final List<WorkerState> workers;
  private final Map<String, Integer> indexById = new HashMap<>();
  private final List<int[]> racks = new ArrayList<>();
  private final int[] outageCounts;
  private final ResourceTable free;
  private final Map<String, JobState> activeJobs = new LinkedHashMap<>();
  private final Map<String, ResourceVector> heldByTeam = new HashMap<>();
  private Set<String> dataCentresOut = Set.of();

  SimulatedFleet(List<WorkerState> workers) {
    this.workers = workers;
    outageCounts = new int[workers.size()];
    free = new ResourceTable(workers.size());
    Map<String, List<Integer>> indexesByRack = new LinkedHashMap<>();
    for (int i = 0; i < workers.size(); i++) {
      indexById.put(workers.get(i).workerId(), i);
      free.add(i, workers.get(i).capacity(), 1);
      indexesByRack.computeIfAbsent(rack(i), key -> new ArrayList<>()).add(i);
    }
    indexesByRack
        .values()
        .forEach(indexes -> racks.add(indexes.stream().mapToInt(Integer::intValue).toArray()));
  }

  int size() {
    return workers.size();
  }

  /** Returns the index of a worker, or -1 if it is unknown. */
  int indexOf(String workerId) {
    return indexById.getOrDefault(workerId, -1);
  }

  WorkerState worker(int index) {
    return workers.get(index);
  }

  String rack(int index) {
    return workers.get(index).dataCentre() + '/' + workers.get(index).rack();
  }

  List<int[]> racks() {
    return racks;
  }

  ResourceTable free() {
    return free;
  }

  Collection<JobState> activeJobs() {
    return activeJobs.values();
  }

  ResourceVector heldBy(String team) {
    return heldByTeam.getOrDefault(team, ResourceVector.NONE);
  }

  void setDataCentresOut(Set<String> dataCentres) {
    dataCentresOut = new LinkedHashSet<>(dataCentres);
  }

  /**
   * Changes the number of current outages of a worker; returns whether the worker became silent or
   * responds again.
   */
  boolean adjustOutages(int index, int delta) {
    boolean before = isResponding(index);
    outageCounts[index] += delta;
    return before != isResponding(index);
  }

  boolean isResponding(int index) {
    return outageCounts[index] == 0;
  }

  /** Returns whether tasks may start on a worker. */
  boolean isUsable(int index) {
    return isResponding(index) && !dataCentresOut.contains(workers.get(index).dataCentre());
  }

  void allocate(JobState job) {
    activeJobs.put(job.id(), job);
    updateAllocations(job, 1);
  }

  void release(JobState job) {
    activeJobs.remove(job.id());
    updateAllocations(job, -1);
  }

  /** Returns the free resources of usable workers, and none for the others. */
  ResourceTable freeOnUsableWorkers() {
    ResourceTable table = free.copy();
    clearUnusableWorkers(table);
    return table;
  }

  /** Returns the resources that would be free on usable workers without preemptible gangs. */
  ResourceTable freeAfterPreemption() {
    ResourceTable table = free.copy();
    for (JobState job : activeJobs.values()) {
      if (isPreemptibleOrStopping(job)) {
        addTasks(table, job, 1);
      }
    }
    clearUnusableWorkers(table);
    return table;
  }

  static boolean isPreemptibleOrStopping(JobState job) {
    return job.request().preemptible() || job.isStopping();
  }

  /** Adds the resources of a job on usable workers to a table, or subtracts them if sign is -1. */
  void addOnUsableWorkers(ResourceTable table, JobState job, int sign) {
    for (String id : job.workers()) {
      int index = indexOf(id);
      if (isUsable(index)) {
        table.add(index, job.request().shape().perTask(), sign);
      }
    }
  }

  private void clearUnusableWorkers(ResourceTable table) {
    for (int i = 0; i < size(); i++) {
      if (!isUsable(i)) {
        table.clear(i);
      }
    }
  }

  private void updateAllocations(JobState job, int sign) {
    addTasks(free, job, -sign);
    JobRequest request = job.request();
    ResourceVector total = request.shape().perTask().times(request.shape().tasks());
    heldByTeam.merge(request.team(), total, (a, b) -> sign > 0 ? a.plus(b) : a.minus(b));
  }

  private void addTasks(ResourceTable table, JobState job, int sign) {
    ResourceVector perTask = job.request().shape().perTask();
    job.workers().forEach(id -> table.add(indexOf(id), perTask, sign));
  }
}
