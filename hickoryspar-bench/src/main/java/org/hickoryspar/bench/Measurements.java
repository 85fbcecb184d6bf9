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

/**
 * Collects the measurements of a run. Completion times exclude warm-up jobs, which only fill the
 * fleet at the start.
 */
final class Measurements {

  private static final double MILLIS_PER_HOUR = TimeUnit.HOURS.toMillis(1);
  private static final long WARM_UP_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SAMPLES_PER_POINT = 30;

  /** Target for the time from submission to start, from section 1.5 of the design page. */
  private static final double URGENT_TARGET_SECONDS = 2.8;

  private final Workload workload;
  private final SimulatedFleet fleet;
  private final DecisionChecker checker;
  private final FragmentationMeter fragmentationMeter;
  private final Map<String, List<Double>> completionSeconds = new TreeMap<>();
  private final List<Double> urgentWithCapacitySeconds = new ArrayList<>();
  private final List<Double> urgentWithoutCapacitySeconds = new ArrayList<>();
  private final List<Double> decisionMillis = new ArrayList<>();
  private final List<Double> decisionOnSubmissionMillis = new ArrayList<>();
  private final List<Double> fragmentationSamples = new ArrayList<>();
  private final List<Double> fragmentationWhileLargeWaits = new ArrayList<>();
  private final List<Double> runningAcceleratorSamples = new ArrayList<>();
  private final List<Double> strandedAcceleratorSamples = new ArrayList<>();
  private final List<Double> freeAcceleratorSamples = new ArrayList<>();
  private final List<Double> runningTaskSamples = new ArrayList<>();
  private final Map<String, Double> figures = new TreeMap<>();
  private int openJobs;

  Measurements(Workload workload, SimulatedFleet fleet, DecisionChecker checker) {
    this.workload = workload;
    this.fleet = fleet;
    this.checker = checker;
    fragmentationMeter = new FragmentationMeter(fleet, checker);
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

  void recordSubmission(JobState job) {
    openJobs += job.model().behaviour() == Behaviour.NEVER_FITS ? 0 : 1;
  }

  void recordDecision(long nowMicros, long nanos, boolean onSubmission) {
    if (nowMicros >= WARM_UP_MICROS) {
      decisionMillis.add(nanos / 1e6);
      if (onSubmission) {
        decisionOnSubmissionMillis.add(nanos / 1e6);
      }
    }
  }

  void recordStart(long nowMicros, JobState job) {
    if (job.request().urgent() && !job.hasStarted()) {
      urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
    }
  }

  void recordCompletion(long nowMicros, JobState job) {
    openJobs--;
    double acceleratorHours =
        Packer.totalAccelerators(job.request().shape()) * job.model().runMillis() / MILLIS_PER_HOUR;
    increment("completed-accelerator-hours", acceleratorHours);
    if (!job.model().warmUp()) {
      double seconds = sinceSubmissionSeconds(nowMicros, job);
      completionSample(job.request().kind()).add(seconds);
      completionSample("all").add(seconds);
    }
  }

  void recordCancellation(JobState job) {
    openJobs -= job.model().behaviour() == Behaviour.NEVER_FITS ? 0 : 1;
    increment("cancelled", 1);
  }

  void recordRejection(long nowMicros, JobState job, String reason) {
    String figureName =
        switch (job.model().behaviour()) {
          case NEVER_FITS -> "rejected-never-fitting";
          case FAILS_EVERYWHERE -> "rejected-failing";
          case HEALTHY -> "rejected-healthy";
        };
    increment(figureName, 1);
    if (job.model().behaviour() == Behaviour.HEALTHY) {
      checker.addExample(nowMicros / 1000, "healthy " + job.id() + " was rejected: " + reason);
    }
    openJobs -= job.model().behaviour() == Behaviour.NEVER_FITS ? 0 : 1;
    if (job.model().behaviour() == Behaviour.HEALTHY
        && job.request().urgent()
        && !job.hasStarted()) {
      urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
    }
  }

  void recordPreemption(JobState job, long lostMillis) {
    increment("preemptions", 1);
    increment(
        "lost-accelerator-hours",
        lostMillis * Packer.totalAccelerators(job.request().shape()) / MILLIS_PER_HOUR);
  }

  /** Samples the fleet; called every minute, without effect after the submission period. */
  void takeSample(long nowMicros, Collection<JobState> waiting) {
    long nowMillis = nowMicros / 1000;
    if (nowMillis > workload.submissionEndMillis()) {
      return;
    }
    Set<GangShape> largeShapes = fragmentationMeter.waitingLargeShapes(waiting);
    double unusableShare =
        largeShapes.isEmpty() ? 0 : fragmentationMeter.unusableShare(largeShapes);
    fragmentationSamples.add(unusableShare);
    if (!largeShapes.isEmpty()) {
      fragmentationWhileLargeWaits.add(unusableShare);
    }
    double freeAccelerators = fragmentationMeter.freeAccelerators();
    freeAcceleratorSamples.add(freeAccelerators);
    strandedAcceleratorSamples.add(freeAccelerators * unusableShare);
    double runningAccelerators = 0;
    double taskCount = 0;
    for (JobState job : fleet.activeJobs()) {
      if (job.phase() == JobState.Phase.RUNNING) {
        runningAccelerators += Packer.totalAccelerators(job.request().shape());
        taskCount += job.workers().size();
      }
    }
    runningAcceleratorSamples.add(runningAccelerators);
    runningTaskSamples.add(taskCount);
    for (Incident incident : workload.incidents()) {
      if (incident instanceof Incident.DataCentreOutage outage
          && outage.atMillis() <= nowMillis
          && nowMillis < outage.returnMillis()) {
        increment("accelerator-hours-while-away", runningAccelerators / 60);
      }
    }
    if (!checker.areGuaranteesFormable()) {
      increment("guarantee-gap-minutes", 1);
    }
  }

  /** Counts unfinished jobs and computes the figures of the whole run. */
  void finish(long nowMicros, Collection<JobState> jobs) {
    long unfinished = 0;
    long unstartedUrgent = 0;
    for (JobState job : jobs) {
      if (job.model().behaviour() != Behaviour.NEVER_FITS && job.phase() != JobState.Phase.ENDED) {
        unfinished++;
        if (job.request().urgent() && !job.hasStarted()) {
          unstartedUrgent++;
          urgentSample(job).add(sinceSubmissionSeconds(nowMicros, job));
        }
      }
    }
    figures.put("unfinished", (double) unfinished);
    figures.put("urgent-never-started", (double) unstartedUrgent);
    figures.put(
        "urgent-over-target",
        (double) urgentWithCapacitySeconds.stream().filter(s -> s > URGENT_TARGET_SECONDS).count());
    figures.put(
        "never-fitting",
        (double) jobs.stream().filter(j -> j.model().behaviour() == Behaviour.NEVER_FITS).count());
    figures.put("fragmentation", mean(fragmentationSamples));
    figures.put("fragmentation-while-large-waits", mean(fragmentationWhileLargeWaits));
    figures.put(
        "share-of-time-large-waits",
        fragmentationWhileLargeWaits.size() / (double) Math.max(1, fragmentationSamples.size()));
    figures.put("mean-stranded-accelerators", mean(strandedAcceleratorSamples));
    figures.put("mean-free-accelerators", mean(freeAcceleratorSamples));
    figures.put("mean-running-tasks", mean(runningTaskSamples));
    figures.put("mean-running-accelerators", mean(runningAcceleratorSamples));
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
        Distribution.of(urgentWithCapacitySeconds),
        Distribution.of(urgentWithoutCapacitySeconds),
        Distribution.of(decisionMillis),
        Distribution.of(decisionOnSubmissionMillis),
        figures,
        checker.violationCounts(),
        checker.examples(),
        averagedSeries(fragmentationSamples),
        averagedSeries(runningAcceleratorSamples));
  }

  private List<Double> urgentSample(JobState job) {
    return job.hadCapacityAtSubmission() ? urgentWithCapacitySeconds : urgentWithoutCapacitySeconds;
  }

  private List<Double> completionSample(String name) {
    return completionSeconds.computeIfAbsent(name, key -> new ArrayList<>());
  }

  private void increment(String name, double amount) {
    figures.merge(name, amount, Double::sum);
  }

  private static double sinceSubmissionSeconds(long nowMicros, JobState job) {
    return nowMicros / 1e6 - job.request().submittedMillis() / 1e3;
  }

  private static double mean(Collection<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
  }

  private static List<Double> averagedSeries(List<Double> samples) {
    List<Double> series = new ArrayList<>();
    for (int i = 0; i < samples.size(); i += SAMPLES_PER_POINT) {
      series.add(mean(samples.subList(i, Math.min(samples.size(), i + SAMPLES_PER_POINT))));
    }
    return series;
  }
}
