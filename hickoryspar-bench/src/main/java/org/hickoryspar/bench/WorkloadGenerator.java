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

/** Generates workloads. The same deployment and seed yield the same workload. */
public final class WorkloadGenerator {

  private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final long DAY_MILLIS = TimeUnit.DAYS.toMillis(1);

  /** Log-normal spread of run times within a class; the 95th percentile is 3.7 times the median. */
  private static final double RUN_TIME_SIGMA = 0.8;

  /**
   * Log-normal spread of declared over true run times; one ratio in six differs from the median by
   * a factor above 4.
   */
  private static final double DECLARATION_SIGMA = 1.0;

  private static final long MAX_RUN_MILLIS = DAY_MILLIS;

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
   * @param deployment the fleet, the teams and the classes of jobs
   * @param seed the seed
   * @return the workload
   */
  public static Workload generate(Deployment deployment, long seed) {
    requireNonNull(deployment, "deployment is null");
    return new WorkloadGenerator(deployment, seed).generate(seed);
  }

  private Workload generate(long seed) {
    long submissionEndMillis = deployment.days() * DAY_MILLIS;
    List<WorkerState> workers = createWorkers(deployment);
    for (JobClass jobClass : deployment.classes()) {
      addInitialJobs(jobClass);
      addArrivals(jobClass, submissionEndMillis);
    }
    addUnplaceableJobs(submissionEndMillis);
    jobs.sort(
        Comparator.comparingLong((JobModel job) -> job.request().submittedMillis())
            .thenComparing(job -> job.request().jobId()));
    List<Incident> incidents = drawIncidents(workers, submissionEndMillis);
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
  public static List<WorkerState> createWorkers(Deployment deployment) {
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

  /**
   * Adds the jobs that are running at the start, as many as Little's law gives, with a random
   * remainder of their run time.
   */
  private void addInitialJobs(JobClass jobClass) {
    double meanRunMillis =
        jobClass.medianRunSeconds() * 1000 * Math.exp(RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
    long count = Math.round(jobClass.jobsPerDay() * meanRunMillis / DAY_MILLIS);
    for (long i = 0; i < count; i++) {
      addJob(jobClass, 0, drawTeam(), true);
    }
  }

  private void addArrivals(JobClass jobClass, long endMillis) {
    switch (jobClass.arrival()) {
      case DAYTIME -> {
        double peakPerMilli = 1.5 * jobClass.jobsPerDay() / DAY_MILLIS;
        double atMillis = drawExponential(peakPerMilli);
        for (; atMillis < endMillis; atMillis += drawExponential(peakPerMilli)) {
          double hour = atMillis / HOUR_MILLIS % 24;
          double rate = 1 + 0.5 * Math.sin((hour - 8) / 24 * 2 * Math.PI);
          if (random.nextDouble() * 1.5 < rate) {
            addJob(jobClass, (long) atMillis, drawTeam(), false);
          }
        }
      }
      case BURSTS -> {
        int meanBurstSize = 20;
        double burstsPerMilli = jobClass.jobsPerDay() / meanBurstSize / DAY_MILLIS;
        double atMillis = drawExponential(burstsPerMilli);
        for (; atMillis < endMillis; atMillis += drawExponential(burstsPerMilli)) {
          TeamPolicy team = drawTeam();
          int burstSize = 5 + random.nextInt(2 * meanBurstSize - 9);
          for (int i = 0; i < burstSize; i++) {
            addJob(jobClass, (long) atMillis + random.nextInt(5_000), team, false);
          }
        }
      }
      case EVENING -> {
        for (long day = 0; day * DAY_MILLIS < endMillis; day++) {
          for (int i = 0; i < jobClass.jobsPerDay(); i++) {
            long atMillis =
                day * DAY_MILLIS
                    + 18 * HOUR_MILLIS
                    + (long) (random.nextDouble() * 2 * HOUR_MILLIS);
            addJob(jobClass, atMillis, drawTeam(), false);
          }
        }
      }
      default -> throw new IllegalStateException("unknown arrival " + jobClass.arrival());
    }
  }

  private void addJob(JobClass jobClass, long atMillis, TeamPolicy team, boolean warmUp) {
    // Run times differ by team, so that estimates learned per team and kind are more accurate.
    double teamFactor = 0.5 + Math.floorMod(team.team().hashCode() * 31L, 100) / 100.0;
    double sampledRunMillis =
        jobClass.medianRunSeconds()
            * 1000
            * teamFactor
            * Math.exp(RUN_TIME_SIGMA * random.nextGaussian());
    long runMillis = Math.max(2_000, Math.min(MAX_RUN_MILLIS, (long) sampledRunMillis));
    double declaredMillis = runMillis * Math.exp(0.5 + DECLARATION_SIGMA * random.nextGaussian());
    GangShape shape = jobClass.shapes().get(random.nextInt(jobClass.shapes().size()));
    boolean preemptible = random.nextDouble() < jobClass.preemptibleShare();
    double usageRatio = Math.exp(-0.3 + 0.3 * random.nextGaussian());
    Behaviour behaviour = random.nextInt(200) == 0 ? Behaviour.FAILS_EVERYWHERE : Behaviour.HEALTHY;
    JobRequest request =
        new JobRequest(
            nextJobId(),
            team.team(),
            jobClass.name(),
            shape,
            jobClass.urgent(),
            (long) declaredMillis,
            preemptible,
            atMillis);
    long remainingMillis = Math.max(2_000, (long) (runMillis * (warmUp ? random.nextDouble() : 1)));
    jobs.add(
        new JobModel(
            request, remainingMillis, usageRatio, warmUp ? Behaviour.HEALTHY : behaviour, warmUp));
  }

  private void addUnplaceableJobs(long endMillis) {
    ResourceVector worker = deployment.worker();
    ResourceVector halfWorker = new ResourceVector(1, 1_000, worker.accelerators() / 2);
    List<GangShape> shapes =
        List.of(
            new GangShape(1, new ResourceVector(1, 1_000, 16), Adjacency.NONE),
            new GangShape(
                1, new ResourceVector(1, worker.memoryMegabytes() + 1, 0), Adjacency.NONE),
            new GangShape(3, halfWorker, Adjacency.WORKER),
            new GangShape(2 * Deployment.WORKERS_PER_RACK + 1, halfWorker, Adjacency.RACK),
            new GangShape(200_000, halfWorker, Adjacency.NONE));
    int count = 3 + jobs.size() / 200;
    for (int i = 0; i < count; i++) {
      GangShape shape = shapes.get(i % shapes.size());
      long atMillis = (long) (random.nextDouble() * endMillis);
      String team = drawTeam().team();
      JobRequest request =
          new JobRequest(
              nextJobId(), team, "never-fits", shape, i % 7 == 0, 60_000, true, atMillis);
      jobs.add(new JobModel(request, 60_000, 1, Behaviour.NEVER_FITS, false));
    }
  }

  private List<Incident> drawIncidents(List<WorkerState> workers, long endMillis) {
    List<Incident> incidents = new ArrayList<>();
    List<String> dataCentres = List.copyOf(deployment.workersByDataCentre().keySet());
    String dataCentre = dataCentres.get(random.nextInt(dataCentres.size()));
    long outMillis = (long) (endMillis * (0.3 + 0.2 * random.nextDouble()));
    incidents.add(
        new Incident.DataCentreOutage(
            outMillis, dataCentre, outMillis + HOUR_MILLIS / 12, outMillis + 4 * HOUR_MILLIS));
    for (int i = 0; i < 2 * deployment.days(); i++) {
      long atMillis = (long) (random.nextDouble() * endMillis);
      List<String> recentJobIds =
          jobs.stream()
              .map(JobModel::request)
              .filter(job -> job.submittedMillis() <= atMillis)
              .filter(job -> job.submittedMillis() > atMillis - 6 * HOUR_MILLIS)
              .map(JobRequest::jobId)
              .toList();
      List<String> cancelledJobIds =
          recentJobIds.stream().filter(id -> random.nextInt(5) == 0).toList();
      incidents.add(new Incident.MassCancellation(atMillis, cancelledJobIds));
    }
    int faultyWorkerCount = Math.max(1, workers.size() / 200) * deployment.days();
    int outageCount = Math.max(1, workers.size() / 150) * deployment.days();
    for (int i = 0; i < faultyWorkerCount + outageCount; i++) {
      String worker = workers.get(random.nextInt(workers.size())).workerId();
      long atMillis = (long) (random.nextDouble() * endMillis);
      incidents.add(
          i < faultyWorkerCount
              ? new Incident.FaultyWorker(atMillis, worker, atMillis + 6 * HOUR_MILLIS)
              : new Incident.WorkerOutage(atMillis, worker, atMillis + HOUR_MILLIS / 4));
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

  private String nextJobId() {
    return String.format("job-%06d", jobs.size());
  }

  private double drawExponential(double rate) {
    return -Math.log(1 - random.nextDouble()) / rate;
  }
}
