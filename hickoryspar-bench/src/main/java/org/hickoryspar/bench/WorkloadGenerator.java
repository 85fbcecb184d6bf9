package org.hickoryspar.bench;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.bench.JobModel.Behaviour;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;
import org.hickoryspar.kernel.scheduling.WorkerState;

/** Generates workloads; the same deployment and seed give the same workload. */
public final class WorkloadGenerator {

  private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final long DAY_MILLIS = TimeUnit.DAYS.toMillis(1);

  /** Spread of true run times of one class; the 95th percentile is 3.7 times the median. */
  private static final double RUN_TIME_SIGMA = 0.8;

  /** Spread of declared over true run times; one declaration in six is off by a factor above 4. */
  private static final double DECLARATION_SIGMA = 1.0;

  private static final long LONGEST_RUN_MILLIS = DAY_MILLIS;

  private final Deployment deployment;
  private final Random random;
  private final List<JobModel> jobs = new ArrayList<>();

  private WorkloadGenerator(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
  }

  /**
   * Generates a workload.
   *
   * @param deployment the fleet and the kinds of work
   * @param seed the seed
   * @return the workload
   */
  public static Workload generate(Deployment deployment, long seed) {
    requireNonNull(deployment, "deployment is null");
    return new WorkloadGenerator(deployment, seed).generate(seed);
  }

  private Workload generate(long seed) {
    long submissionEndMillis = deployment.days() * DAY_MILLIS;
    List<WorkerState> workers = workers(deployment);
    for (JobClass jobClass : deployment.classes()) {
      warmUp(jobClass);
      submit(jobClass, submissionEndMillis);
    }
    neverFitting(submissionEndMillis);
    jobs.sort(
        Comparator.comparingLong((JobModel job) -> job.request().submittedMillis())
            .thenComparing(job -> job.request().jobId()));
    List<Incident> incidents = incidents(workers, submissionEndMillis);
    SchedulingConfig config =
        new SchedulingConfig(
            1, deployment.placementPolicy(), deployment.teams(), Set.of(), Set.of());
    return new Workload(
        deployment.name(),
        seed,
        workers,
        config,
        jobs,
        incidents,
        submissionEndMillis,
        submissionEndMillis + 2 * DAY_MILLIS);
  }

  /**
   * Returns the workers of a deployment.
   *
   * @param deployment the deployment
   * @return the workers, by data centre and rack
   */
  public static List<WorkerState> workers(Deployment deployment) {
    requireNonNull(deployment, "deployment is null");
    List<WorkerState> workers = new ArrayList<>();
    deployment
        .workersByDataCentre()
        .forEach(
            (dataCentre, count) -> {
              for (int i = 0; i < count; i++) {
                String rack = dataCentre + "-r" + i / Deployment.WORKERS_PER_RACK;
                String id = String.format("%s-w%04d", dataCentre, i);
                workers.add(new WorkerState(id, rack, dataCentre, deployment.worker(), true));
              }
            });
    return workers;
  }

  /** Submits what would be running at the start, by Little's law, with the rest of its run time. */
  private void warmUp(JobClass jobClass) {
    double meanRunMillis =
        jobClass.medianRunSeconds() * 1000 * Math.exp(RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
    long count = Math.round(jobClass.jobsPerDay() * meanRunMillis / DAY_MILLIS);
    for (long i = 0; i < count; i++) {
      add(jobClass, 0, drawTeam(), true);
    }
  }

  private void submit(JobClass jobClass, long endMillis) {
    switch (jobClass.arrival()) {
      case DAYTIME -> {
        double peakPerMilli = 1.5 * jobClass.jobsPerDay() / DAY_MILLIS;
        double at = exponential(peakPerMilli);
        for (; at < endMillis; at += exponential(peakPerMilli)) {
          double hour = at / HOUR_MILLIS % 24;
          double rate = 1 + 0.5 * Math.sin((hour - 8) / 24 * 2 * Math.PI);
          if (random.nextDouble() * 1.5 < rate) {
            add(jobClass, (long) at, drawTeam(), false);
          }
        }
      }
      case BURSTS -> {
        int mean = 20;
        double burstsPerMilli = jobClass.jobsPerDay() / mean / DAY_MILLIS;
        double at = exponential(burstsPerMilli);
        for (; at < endMillis; at += exponential(burstsPerMilli)) {
          TeamPolicy team = drawTeam();
          int size = 5 + random.nextInt(2 * mean - 9);
          for (int i = 0; i < size; i++) {
            add(jobClass, (long) at + random.nextInt(5_000), team, false);
          }
        }
      }
      case EVENING -> {
        for (long day = 0; day * DAY_MILLIS < endMillis; day++) {
          for (int i = 0; i < jobClass.jobsPerDay(); i++) {
            long at =
                day * DAY_MILLIS
                    + 18 * HOUR_MILLIS
                    + (long) (random.nextDouble() * 2 * HOUR_MILLIS);
            add(jobClass, at, drawTeam(), false);
          }
        }
      }
      default -> throw new IllegalStateException("unknown arrival " + jobClass.arrival());
    }
  }

  private void add(JobClass jobClass, long atMillis, TeamPolicy team, boolean warmUp) {
    // Each team has its own typical run time, so that learning per team and kind is worth it.
    double teamFactor = 0.5 + Math.floorMod(team.team().hashCode() * 31L, 100) / 100.0;
    double runMillis =
        jobClass.medianRunSeconds()
            * 1000
            * teamFactor
            * Math.exp(RUN_TIME_SIGMA * random.nextGaussian());
    long trueMillis = Math.max(2_000, Math.min(LONGEST_RUN_MILLIS, (long) runMillis));
    double declared = trueMillis * Math.exp(0.5 + DECLARATION_SIGMA * random.nextGaussian());
    GangShape shape = jobClass.shapes().get(random.nextInt(jobClass.shapes().size()));
    boolean preemptible = random.nextDouble() < jobClass.preemptibleShare();
    double usageRatio = Math.exp(-0.3 + 0.3 * random.nextGaussian());
    Behaviour fate = random.nextInt(200) == 0 ? Behaviour.FAILS_EVERYWHERE : Behaviour.HEALTHY;
    JobRequest request =
        new JobRequest(
            jobId(),
            team.team(),
            jobClass.name(),
            shape,
            jobClass.urgent(),
            (long) declared,
            preemptible,
            atMillis);
    long runLeft = Math.max(2_000, (long) (trueMillis * (warmUp ? random.nextDouble() : 1)));
    jobs.add(new JobModel(request, runLeft, usageRatio, warmUp ? Behaviour.HEALTHY : fate, warmUp));
  }

  private void neverFitting(long endMillis) {
    ResourceVector worker = deployment.worker();
    ResourceVector half = new ResourceVector(1, 1_000, worker.accelerators() / 2);
    List<GangShape> shapes =
        List.of(
            new GangShape(1, new ResourceVector(1, 1_000, 16), Adjacency.NONE),
            new GangShape(
                1, new ResourceVector(1, worker.memoryMegabytes() + 1, 0), Adjacency.NONE),
            new GangShape(3, half, Adjacency.WORKER),
            new GangShape(2 * Deployment.WORKERS_PER_RACK + 1, half, Adjacency.RACK),
            new GangShape(200_000, half, Adjacency.NONE));
    int count = 3 + jobs.size() / 200;
    for (int i = 0; i < count; i++) {
      GangShape shape = shapes.get(i % shapes.size());
      long at = (long) (random.nextDouble() * endMillis);
      String team = drawTeam().team();
      JobRequest request =
          new JobRequest(jobId(), team, "never-fits", shape, i % 7 == 0, 60_000, true, at);
      jobs.add(new JobModel(request, 60_000, 1, Behaviour.NEVER_FITS, false));
    }
  }

  private List<Incident> incidents(List<WorkerState> workers, long endMillis) {
    List<Incident> incidents = new ArrayList<>();
    List<String> centres = List.copyOf(deployment.workersByDataCentre().keySet());
    String centre = centres.get(random.nextInt(centres.size()));
    long out = (long) (endMillis * (0.3 + 0.2 * random.nextDouble()));
    incidents.add(
        new Incident.DataCentreOutage(out, centre, out + HOUR_MILLIS / 12, out + 4 * HOUR_MILLIS));
    for (int i = 0; i < 2 * deployment.days(); i++) {
      long at = (long) (random.nextDouble() * endMillis);
      List<String> recent =
          jobs.stream()
              .map(JobModel::request)
              .filter(job -> job.submittedMillis() <= at)
              .filter(job -> job.submittedMillis() > at - 6 * HOUR_MILLIS)
              .map(JobRequest::jobId)
              .toList();
      List<String> cancelled = recent.stream().filter(id -> random.nextInt(5) == 0).toList();
      incidents.add(new Incident.MassCancellation(at, cancelled));
    }
    int faulty = Math.max(1, workers.size() / 200) * deployment.days();
    int lost = Math.max(1, workers.size() / 150) * deployment.days();
    for (int i = 0; i < faulty + lost; i++) {
      String worker = workers.get(random.nextInt(workers.size())).workerId();
      long at = (long) (random.nextDouble() * endMillis);
      incidents.add(
          i < faulty
              ? new Incident.FaultyWorker(at, worker, at + 6 * HOUR_MILLIS)
              : new Incident.WorkerOutage(at, worker, at + HOUR_MILLIS / 4));
    }
    incidents.sort(Comparator.comparingLong(Incident::atMillis));
    return incidents;
  }

  private TeamPolicy drawTeam() {
    double draw = random.nextDouble();
    int index = 0;
    for (; index < deployment.teams().size() - 1; index++) {
      draw -= deployment.teamShares().get(index);
      if (draw < 0) {
        break;
      }
    }
    return deployment.teams().get(index);
  }

  private String jobId() {
    return String.format("job-%06d", jobs.size());
  }

  private double exponential(double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }
}
