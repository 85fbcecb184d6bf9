package org.hickoryspar.bench;

import static java.util.Objects.requireNonNull;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.GuaranteeSchedulerFactory;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;
import org.hickoryspar.kernel.scheduling.WorkerState;

/**
 * Measures the CPU time of decisions in busy fleets and prints the figures. The exit status is 1 if
 * a median is not below 10 ms or a 99th percentile is not below 50 ms.
 */
public final class DecisionsCommand implements Command {

  private static final ResourceVector WORKER_CAPACITY = new ResourceVector(32, 128_000, 8);

  private static final ResourceVector TASK_RESOURCES = new ResourceVector(2, 8_000, 1);
  private static final List<GangShape> SMALL_GUARANTEES =
      List.of(
          new GangShape(8, TASK_RESOURCES, Adjacency.WORKER),
          new GangShape(16, TASK_RESOURCES, Adjacency.RACK));

  /** For 65 teams the sum is 12,480 of the 13,600 accelerators of 1,700 workers. */
  private static final List<GangShape> LARGE_GUARANTEES =
      List.of(
          new GangShape(64, TASK_RESOURCES, Adjacency.RACK),
          new GangShape(64, TASK_RESOURCES, Adjacency.RACK),
          new GangShape(32, TASK_RESOURCES, Adjacency.RACK),
          new GangShape(8, TASK_RESOURCES, Adjacency.WORKER),
          new GangShape(8, TASK_RESOURCES, Adjacency.WORKER),
          new GangShape(8, TASK_RESOURCES, Adjacency.WORKER),
          new GangShape(8, TASK_RESOURCES, Adjacency.NONE));

  private static final List<Adjacency> ADJACENCIES =
      List.of(Adjacency.NONE, Adjacency.WORKER, Adjacency.RACK);

  /** Workers, running tasks, teams and data centres of each fleet. */
  private static final int[][] FLEETS = {
    {30, 175, 4, 3},
    {300, 1_750, 12, 6},
    {1_700, 9_900, 65, 21},
    // Fully allocated fleets with waiting jobs.
    {30, 240, 4, 3},
    {1_700, 13_600, 65, 21},
  };

  /** Creates the command; it has no options. */
  public DecisionsCommand() {}

  @Override
  public int run() {
    boolean withinLimits = true;
    for (int[] fleet : FLEETS) {
      withinLimits &= measureBusyFleet(fleet[0], fleet[1], fleet[2], fleet[3]);
    }
    withinLimits &= measureDataCentreRemoval();
    return withinLimits ? 0 : 1;
  }

  /** Detects decisions that scan the whole fleet, and state that grows without limit. */
  private static boolean measureBusyFleet(int workers, int tasks, int teams, int dataCentres) {
    long heapBytesBefore = usedHeapBytes();
    LoadedScheduler loaded = new LoadedScheduler(workers, teams, dataCentres, SMALL_GUARANTEES);
    loaded.fill(tasks);
    for (int i = 0; i < 500; i++) {
      loaded.replaceJob();
    }
    long[] nanos = new long[2_000];
    for (int i = 0; i < nanos.length; i++) {
      nanos[i] = loaded.replaceJob();
    }
    Arrays.sort(nanos);
    double medianMillis = nanos[nanos.length / 2] / 1e6;
    double p99Millis = nanos[nanos.length * 99 / 100] / 1e6;
    System.out.printf(
        "%d workers, %d tasks running, %d jobs waiting, %d teams: decision median %.3f ms, p99 %.3f"
            + " ms, heap %.1f MB%n",
        workers,
        loaded.runningTasks,
        loaded.waitingJobs,
        teams,
        medianMillis,
        p99Millis,
        (usedHeapBytes() - heapBytesBefore) / 1e6);
    return medianMillis < 10 && p99Millis < 50 && loaded.runningTasks > 0;
  }

  /** Detects decisions that are slow when guarantees are lost or when many jobs arrive at once. */
  private static boolean measureDataCentreRemoval() {
    LoadedScheduler loaded = new LoadedScheduler(1_700, 65, 21, LARGE_GUARANTEES);
    loaded.fill(9_900);
    long[] removalNanos = new long[8];
    long[] returnNanos = new long[8];
    long[] decisionNanos = new long[8 * 50];
    for (int round = 0; round < removalNanos.length; round++) {
      removalNanos[round] = loaded.setDataCentresOut(Set.of("dc" + round, "dc" + (round + 1)));
      for (int i = 0; i < 50; i++) {
        decisionNanos[round * 50 + i] = loaded.replaceJob();
      }
      returnNanos[round] = loaded.setDataCentresOut(Set.of());
    }
    long slowestBurstNanos = loaded.submitBurst(2_500);
    Arrays.sort(removalNanos);
    Arrays.sort(returnNanos);
    Arrays.sort(decisionNanos);
    System.out.printf(
        "1700 workers, 92%% guaranteed: leave of 2 data centres median %.1f ms, most %.1f ms;"
            + " return %.1f ms; decisions while out median %.1f ms, p99 %.1f ms; slowest decision"
            + " in a burst of 2500 jobs %.1f ms%n",
        removalNanos[4] / 1e6,
        removalNanos[7] / 1e6,
        returnNanos[4] / 1e6,
        decisionNanos[200] / 1e6,
        decisionNanos[396] / 1e6,
        slowestBurstNanos / 1e6);
    return decisionNanos[200] < 10e6 && decisionNanos[396] < 50e6;
  }

  /** Returns the CPU time of this thread, which excludes other load on the machine. */
  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** A scheduler with a fleet, running gangs and waiting jobs. */
  private static final class LoadedScheduler {

    private final Random random = new Random(7);
    private final Scheduler scheduler = new GuaranteeSchedulerFactory().create();
    private final List<JobRequest> runningJobs = new ArrayList<>();
    private final Map<String, JobRequest> jobsById = new HashMap<>();
    private final int teams;
    private final List<TeamPolicy> policies = new ArrayList<>();
    private long nowMillis;
    private int submittedJobs;
    private int runningTasks;
    private int waitingJobs;

    LoadedScheduler(int workers, int teams, int dataCentres, List<GangShape> guarantees) {
      this.teams = teams;
      for (int w = 0; w < workers; w++) {
        int rack = w / 8;
        String dataCentre = "dc" + rack % dataCentres;
        scheduler.workerChanged(
            new WorkerState("w" + w, "r" + rack, dataCentre, WORKER_CAPACITY, true));
      }
      for (int t = 0; t < teams; t++) {
        policies.add(
            new TeamPolicy("t" + t, WORKER_CAPACITY.times(workers / 2), 1 + t % 3, guarantees));
      }
      if (!scheduler.check(config(Set.of())).isSuccess()) {
        throw new IllegalStateException("the guarantees cannot be formed");
      }
      scheduler.configure(config(Set.of()));
    }

    private SchedulingConfig config(Set<String> dataCentresOut) {
      return new SchedulingConfig(1, "fragmentation", policies, dataCentresOut, Set.of());
    }

    /**
     * Replaces the set of data centres that are out of service and decides; returns the CPU time of
     * both in nanoseconds.
     */
    long setDataCentresOut(Set<String> dataCentresOut) {
      nowMillis += 1_000;
      long startNanos = threadCpuNanos();
      scheduler.configure(config(dataCentresOut));
      return threadCpuNanos() - startNanos + decide();
    }

    /**
     * Submits jobs, calls the scheduler once per 50 jobs and returns the CPU time of the slowest
     * decision in nanoseconds.
     */
    long submitBurst(int count) {
      for (int i = 0; i < count; i++) {
        submit();
      }
      long slowestNanos = 0;
      for (int i = 0; i < count / 50; i++) {
        nowMillis += 10;
        slowestNanos = Math.max(slowestNanos, decide());
      }
      return slowestNanos;
    }

    /** Submits jobs until the given number of tasks runs or 400 jobs wait. */
    void fill(int tasks) {
      while (runningTasks < tasks && waitingJobs < 400) {
        submit();
        decide();
      }
    }

    /** Ends a job, submits another and returns the CPU time of the decision in nanoseconds. */
    long replaceJob() {
      nowMillis += 1_000;
      JobRequest ended = runningJobs.remove(random.nextInt(runningJobs.size()));
      runningTasks -= ended.shape().tasks();
      scheduler.gangEnded(ended.jobId(), EndReason.COMPLETED, List.of(), nowMillis);
      submit();
      return decide();
    }

    private void submit() {
      int draw = random.nextInt(100);
      int tasks = draw < 60 ? 1 + random.nextInt(4) : draw < 95 ? 8 : draw < 99 ? 16 : 64;
      Adjacency adjacency = ADJACENCIES.get(random.nextInt(tasks > 8 ? 2 : 3));
      if (tasks > 8 && adjacency == Adjacency.WORKER) {
        adjacency = Adjacency.RACK;
      }
      ResourceVector perTask = new ResourceVector(1 + random.nextInt(3), 8_000, 1);
      JobRequest job =
          new JobRequest(
              "j" + submittedJobs++,
              "t" + random.nextInt(teams),
              "k" + random.nextInt(3),
              new GangShape(tasks, perTask, adjacency),
              random.nextInt(20) == 0,
              1_000,
              random.nextInt(10) > 0,
              nowMillis);
      jobsById.put(job.jobId(), job);
      scheduler.jobQueued(job);
      waitingJobs++;
    }

    private long decide() {
      long startNanos = threadCpuNanos();
      List<Decision> decisions = scheduler.decide(nowMillis);
      long nanos = threadCpuNanos() - startNanos;
      for (Decision decision : decisions) {
        JobRequest job = requireNonNull(jobsById.get(decision.jobId()), "unknown job");
        if (decision instanceof Decision.Place) {
          runningJobs.add(job);
          runningTasks += job.shape().tasks();
          waitingJobs--;
        } else if (decision instanceof Decision.Preempt) {
          runningJobs.remove(job);
          runningTasks -= job.shape().tasks();
          waitingJobs++;
          scheduler.gangEnded(job.jobId(), EndReason.PREEMPTED, List.of(), nowMillis);
        } else {
          waitingJobs--;
        }
      }
      return nanos;
    }
  }
}
