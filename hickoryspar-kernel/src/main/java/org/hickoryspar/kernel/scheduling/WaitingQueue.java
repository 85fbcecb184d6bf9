package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** The waiting jobs by team and equivalence class. */
final class WaitingQueue {

  private final Map<String, JobRequest> jobs = new HashMap<>();
  private final Map<String, EquivalenceClass> classOfJob = new HashMap<>();
  private final Map<EquivalenceClass.Key, EquivalenceClass> classes = new HashMap<>();
  private final TreeMap<String, List<EquivalenceClass>> urgent = new TreeMap<>();
  private final TreeMap<String, List<EquivalenceClass>> batch = new TreeMap<>();

  /** Adds a job, in an equivalence class of its own if {@code solo} is set. */
  void add(JobRequest job, boolean solo) {
    EquivalenceClass.Key key =
        new EquivalenceClass.Key(
            job.team(),
            job.kind(),
            job.shape(),
            job.urgent(),
            job.preemptible(),
            solo ? job.jobId() : "");
    EquivalenceClass equivalenceClass = classes.get(key);
    if (equivalenceClass == null) {
      equivalenceClass = new EquivalenceClass(key);
      classes.put(key, equivalenceClass);
      byTeam(job.urgent())
          .computeIfAbsent(job.team(), t -> new ArrayList<>())
          .add(equivalenceClass);
    }
    equivalenceClass.add(job);
    jobs.put(job.jobId(), job);
    classOfJob.put(job.jobId(), equivalenceClass);
  }

  boolean remove(String jobId) {
    JobRequest job = jobs.remove(jobId);
    EquivalenceClass equivalenceClass = classOfJob.remove(jobId);
    if (job == null || equivalenceClass == null) {
      return false;
    }
    equivalenceClass.remove(job);
    if (equivalenceClass.isEmpty()) {
      classes.remove(equivalenceClass.key());
      List<EquivalenceClass> teamClasses = byTeam(job.urgent()).get(job.team());
      if (teamClasses != null) {
        teamClasses.remove(equivalenceClass);
        if (teamClasses.isEmpty()) {
          byTeam(job.urgent()).remove(job.team());
        }
      }
    }
    return true;
  }

  @Nullable JobRequest get(String jobId) {
    return jobs.get(jobId);
  }

  EquivalenceClass.@Nullable Key keyOf(String jobId) {
    EquivalenceClass equivalenceClass = classOfJob.get(jobId);
    return equivalenceClass == null ? null : equivalenceClass.key();
  }

  boolean hasClass(EquivalenceClass.Key key) {
    return classes.containsKey(key);
  }

  @Nullable EquivalenceClass classOf(EquivalenceClass.Key key) {
    return classes.get(key);
  }

  int size() {
    return jobs.size();
  }

  /** Returns the classes of urgent or batch jobs by team. */
  Map<String, List<EquivalenceClass>> byTeam(boolean isUrgent) {
    return isUrgent ? urgent : batch;
  }
}
