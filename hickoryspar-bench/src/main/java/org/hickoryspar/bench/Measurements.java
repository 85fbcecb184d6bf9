package org.hickoryspar.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.bench.JobModel.Behaviour;
import org.hickoryspar.kernel.scheduling.GangShape;

/** Collects what a run measures. Jobs that only fill the fleet at the start are left out. */
final class Measurements {

  private static final double MILLIS_PER_HOUR = TimeUnit.HOURS.toMillis(1);
  private static final long WARM_UP_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SAMPLES_PER_POINT = 30;

  /** Design page, section 1.5. */
  private static final double URGENT_TARGET_SECONDS = 2.8;

  private final Workload workload;
  private final SimulatedFleet occupancy;
  private final DecisionChecker checker;
  private final FragmentationMeter fragmentation;
  private final Map<String, List<Double>> completionSeconds = new TreeMap<>();
  private final List<Double> urgentWithCapacity = new ArrayList<>();
  private final List<Double> urgentWithoutCapacity = new ArrayList<>();
  private final List<Double> decisionMillis = new ArrayList<>();
  private final List<Double> submissionDecisionMillis = new ArrayList<>();
  private final List<Double> fragmentationSamples = new ArrayList<>();
  private final List<Double> fragmentationWhileWaiting = new ArrayList<>();
  private final List<Double> runningSamples = new ArrayList<>();
  private final List<Double> strandedSamples = new ArrayList<>();
  private final List<Double> freeSamples = new ArrayList<>();
  private final List<Double> runningTasks = new ArrayList<>();
  private final Map<String, Double> figures = new TreeMap<>();
  private int openJobs;

  Measurements(Workload workload, SimulatedFleet occupancy, DecisionChecker checker) {
    this.workload = workload;
    this.occupancy = occupancy;
    this.checker = checker;
    fragmentation = new FragmentationMeter(occupancy, checker);
    for (String name :
        List.of(
            "completed-accelerator-hours",
            "accelerator-hours-while-away",
            "preemptions",
            "lost-accelerator-hours",
            "rejected-never-fitting",
            "rejected-failing",
            "rejected-healthy",
            "cancelled",
            "guarantee-gap-minutes")) {
      figures.put(name, 0.0);
    }
  }

  int openJobs() {
    return openJobs;
  }

  void submitted(JobState job) {
    openJobs += job.plan().fate() == Behaviour.NEVER_FITS ? 0 : 1;
  }

  void decided(long nowMicros, long nanos, boolean onSubmission) {
    if (nowMicros >= WARM_UP_MICROS) {
      decisionMillis.add(nanos / 1e6);
      if (onSubmission) {
        submissionDecisionMillis.add(nanos / 1e6);
      }
    }
  }

  void started(long nowMicros, JobState job) {
    if (job.request().urgent() && !job.wasStarted()) {
      urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
    }
  }

  void completed(long nowMicros, JobState job) {
    openJobs--;
    double hours =
        Packer.accelerators(job.request().shape()) * job.plan().runMillis() / MILLIS_PER_HOUR;
    add("completed-accelerator-hours", hours);
    if (!job.plan().warmUp()) {
      double seconds = sinceSubmissionSeconds(nowMicros, job);
      sample(job.request().kind()).add(seconds);
      sample("all").add(seconds);
    }
  }

  void cancelled(JobState job) {
    openJobs -= job.plan().fate() == Behaviour.NEVER_FITS ? 0 : 1;
    add("cancelled", 1);
  }

  void rejected(long nowMicros, JobState job, String reason) {
    String outcome =
        switch (job.plan().fate()) {
          case NEVER_FITS -> "rejected-never-fitting";
          case FAILS_EVERYWHERE -> "rejected-failing";
          case HEALTHY -> "rejected-healthy";
        };
    add(outcome, 1);
    if (job.plan().fate() == Behaviour.HEALTHY) {
      checker.addExample(nowMicros / 1000, "healthy " + job.id() + " was rejected: " + reason);
    }
    openJobs -= job.plan().fate() == Behaviour.NEVER_FITS ? 0 : 1;
    if (job.plan().fate() == Behaviour.HEALTHY && job.request().urgent() && !job.wasStarted()) {
      urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
    }
  }

  void preempted(JobState job, long lostMillis) {
    add("preemptions", 1);
    add(
        "lost-accelerator-hours",
        lostMillis * Packer.accelerators(job.request().shape()) / MILLIS_PER_HOUR);
  }

  /** Takes one sample a minute during the submission period. */
  void sample(long nowMicros, Collection<JobState> waiting) {
    long nowMillis = nowMicros / 1000;
    if (nowMillis > workload.submissionEndMillis()) {
      return;
    }
    Set<GangShape> large = fragmentation.waitingLargeShapes(waiting);
    double share = large.isEmpty() ? 0 : fragmentation.share(large);
    fragmentationSamples.add(share);
    if (!large.isEmpty()) {
      fragmentationWhileWaiting.add(share);
    }
    double free = fragmentation.freeAccelerators();
    freeSamples.add(free);
    strandedSamples.add(free * share);
    double running = 0;
    double tasks = 0;
    for (JobState job : occupancy.holders()) {
      if (job.phase() == JobState.Phase.RUNNING) {
        running += Packer.accelerators(job.request().shape());
        tasks += job.workers().size();
      }
    }
    runningSamples.add(running);
    runningTasks.add(tasks);
    for (Incident incident : workload.incidents()) {
      if (incident instanceof Incident.DataCentreOutage away
          && away.atMillis() <= nowMillis
          && nowMillis < away.backMillis()) {
        add("accelerator-hours-while-away", running / 60);
      }
    }
    if (!checker.areGuaranteesFormable()) {
      add("guarantee-gap-minutes", 1);
    }
  }

  /** Counts what has not ended at the end of the run. */
  void finish(long nowMicros, Collection<JobState> jobs) {
    long unfinished = 0;
    long unstartedUrgent = 0;
    for (JobState job : jobs) {
      if (job.plan().fate() != Behaviour.NEVER_FITS && job.phase() != JobState.Phase.ENDED) {
        unfinished++;
        if (job.request().urgent() && !job.wasStarted()) {
          unstartedUrgent++;
          urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
        }
      }
    }
    figures.put("unfinished", (double) unfinished);
    figures.put("urgent-never-started", (double) unstartedUrgent);
    figures.put(
        "urgent-over-target",
        (double) urgentWithCapacity.stream().filter(s -> s > URGENT_TARGET_SECONDS).count());
    figures.put(
        "never-fitting",
        (double) jobs.stream().filter(j -> j.plan().fate() == Behaviour.NEVER_FITS).count());
    figures.put("fragmentation", mean(fragmentationSamples));
    figures.put("fragmentation-while-large-waits", mean(fragmentationWhileWaiting));
    figures.put(
        "share-of-time-large-waits",
        fragmentationWhileWaiting.size() / (double) Math.max(1, fragmentationSamples.size()));
    figures.put("mean-stranded-accelerators", mean(strandedSamples));
    figures.put("mean-free-accelerators", mean(freeSamples));
    figures.put("mean-running-tasks", mean(runningTasks));
    figures.put("mean-running-accelerators", mean(runningSamples));
    figures.put("virtual-hours", nowMicros / 1000.0 / MILLIS_PER_HOUR);
  }

  RunResult result(String variant) {
    Map<String, Distribution> completion = new TreeMap<>();
    completionSeconds.forEach((name, sample) -> completion.put(name, Distribution.of(sample)));
    return new RunResult(
        workload.deployment(),
        variant,
        workload.seed(),
        completion,
        Distribution.of(urgentWithCapacity),
        Distribution.of(urgentWithoutCapacity),
        Distribution.of(decisionMillis),
        Distribution.of(submissionDecisionMillis),
        figures,
        checker.counts(),
        checker.examples(),
        points(fragmentationSamples),
        points(runningSamples));
  }

  private List<Double> urgentSample(JobState job) {
    return job.hadCapacityAtSubmission() ? urgentWithCapacity : urgentWithoutCapacity;
  }

  private List<Double> sample(String name) {
    return completionSeconds.computeIfAbsent(name, key -> new ArrayList<>());
  }

  private void add(String name, double amount) {
    figures.merge(name, amount, Double::sum);
  }

  private static double sinceSubmissionSeconds(long nowMicros, JobState job) {
    return nowMicros / 1e6 - job.request().submittedMillis() / 1e3;
  }

  private static double mean(Collection<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private static List<Double> points(List<Double> samples) {
    List<Double> points = new ArrayList<>();
    for (int i = 0; i < samples.size(); i += SAMPLES_PER_POINT) {
      points.add(mean(samples.subList(i, Math.min(samples.size(), i + SAMPLES_PER_POINT))));
    }
    return points;
  }
}
