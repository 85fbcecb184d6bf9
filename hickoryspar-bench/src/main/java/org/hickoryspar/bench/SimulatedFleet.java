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

/** What the fake platform knows of its workers: who holds what, what is silent, what is out. */
final class SimulatedFleet {

  private final List<WorkerState> workers;
  private final Map<String, Integer> indexById = new HashMap<>();
  private final List<int[]> racks = new ArrayList<>();
  private final int[] silentCauses;
  private final ResourceTable free;
  private final Map<String, JobState> holders = new LinkedHashMap<>();
  private final Map<String, ResourceVector> heldByTeam = new HashMap<>();
  private Set<String> dataCentresOut = Set.of();

  SimulatedFleet(List<WorkerState> workers) {
    this.workers = workers;
    silentCauses = new int[workers.size()];
    free = new ResourceTable(workers.size());
    Map<String, List<Integer>> byRack = new LinkedHashMap<>();
    for (int i = 0; i < workers.size(); i++) {
      indexById.put(workers.get(i).workerId(), i);
      free.add(i, workers.get(i).capacity(), 1);
      byRack.computeIfAbsent(rack(i), key -> new ArrayList<>()).add(i);
    }
    byRack.values().forEach(l -> racks.add(l.stream().mapToInt(Integer::intValue).toArray()));
  }

  int size() {
    return workers.size();
  }

  /** Returns the index of a worker, or -1 when it is unknown. */
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

  Collection<JobState> holders() {
    return holders.values();
  }

  ResourceVector heldBy(String team) {
    return heldByTeam.getOrDefault(team, ResourceVector.NONE);
  }

  void setDataCentresOut(Set<String> dataCentres) {
    dataCentresOut = new LinkedHashSet<>(dataCentres);
  }

  /** Adds or removes one cause of silence; returns whether the worker's availability changed. */
  boolean changeSilence(int index, int causes) {
    boolean before = isAnswering(index);
    silentCauses[index] += causes;
    return before != isAnswering(index);
  }

  boolean isAnswering(int index) {
    return silentCauses[index] == 0;
  }

  /** Returns whether tasks may start on a worker. */
  boolean isUsable(int index) {
    return isAnswering(index) && !dataCentresOut.contains(workers.get(index).dataCentre());
  }

  void hold(JobState job) {
    holders.put(job.id(), job);
    account(job, 1);
  }

  void release(JobState job) {
    holders.remove(job.id());
    account(job, -1);
  }

  /** Returns the free amounts of usable workers. */
  ResourceTable usableFree() {
    ResourceTable table = free.copy();
    clearUnusable(table);
    return table;
  }

  /** Returns what usable workers have free or would have free if preemptible gangs stopped. */
  ResourceTable reclaimable() {
    ResourceTable table = free.copy();
    for (JobState job : holders.values()) {
      if (isReclaimable(job)) {
        addTo(table, job, 1);
      }
    }
    clearUnusable(table);
    return table;
  }

  static boolean isReclaimable(JobState job) {
    return job.request().preemptible() || job.isStopping();
  }

  /** Adds what a job holds, or held, on usable workers. */
  void addUsable(ResourceTable table, JobState job, int sign) {
    for (String id : job.workers()) {
      int index = indexOf(id);
      if (isUsable(index)) {
        table.add(index, job.request().shape().perTask(), sign);
      }
    }
  }

  private void clearUnusable(ResourceTable table) {
    for (int i = 0; i < size(); i++) {
      if (!isUsable(i)) {
        table.clear(i);
      }
    }
  }

  private void account(JobState job, int sign) {
    addTo(free, job, -sign);
    JobRequest request = job.request();
    ResourceVector total = request.shape().perTask().times(request.shape().tasks());
    heldByTeam.merge(request.team(), total, (a, b) -> sign > 0 ? a.plus(b) : a.minus(b));
  }

  private void addTo(ResourceTable table, JobState job, int sign) {
    ResourceVector perTask = job.request().shape().perTask();
    job.workers().forEach(id -> table.add(indexOf(id), perTask, sign));
  }
}
