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
 * Measures the processor time of decisions in a busy fleet and prints the figures; the exit status
 * is 1 when a median is not below 10 ms or a 99th percentile is not below 50 ms.
 */
public final class DecisionsCommand implements Command {

  private static final ResourceVector WORKER = new ResourceVector(32, 128_000, 8);

  private static final ResourceVector GPU = new ResourceVector(2, 8_000, 1);
  private static final List<GangShape> SMALL_GUARANTEES =
      List.of(new GangShape(8, GPU, Adjacency.WORKER), new GangShape(16, GPU, Adjacency.RACK));

  /** With 65 teams these take 12,480 of 13,600 accelerators. */
  private static final List<GangShape> LARGE_GUARANTEES =
      List.of(
          new GangShape(64, GPU, Adjacency.RACK),
          new GangShape(64, GPU, Adjacency.RACK),
          new GangShape(32, GPU, Adjacency.RACK),
          new GangShape(8, GPU, Adjacency.WORKER),
          new GangShape(8, GPU, Adjacency.WORKER),
          new GangShape(8, GPU, Adjacency.WORKER),
          new GangShape(8, GPU, Adjacency.NONE));

  private static final List<Adjacency> ADJACENCIES =
      List.of(Adjacency.NONE, Adjacency.WORKER, Adjacency.RACK);

  private static final int[][] SIZES = {
    {30, 175, 4, 3},
    {300, 1_750, 12, 6},
    {1_700, 9_900, 65, 21},
    // Full fleets with jobs that wait.
    {30, 240, 4, 3},
    {1_700, 13_600, 65, 21},
  };

  /** Makes the command. */
  public DecisionsCommand() {}

  @Override
  public int run() {
    boolean inTime = true;
    for (int[] size : SIZES) {
      inTime &= measureBusyFleet(size[0], size[1], size[2], size[3]);
    }
    inTime &= measureDataCentresOut();
    return inTime ? 0 : 1;
  }

  /** Shows scans of the whole fleet in each decision, and state that grows. */
  private static boolean measureBusyFleet(int workers, int tasks, int teams, int dataCentres) {
    long heapBefore = heapBytes();
    LoadedScheduler load = new LoadedScheduler(workers, teams, dataCentres, SMALL_GUARANTEES);
    load.fill(tasks);
    for (int i = 0; i < 500; i++) {
      load.exchange();
    }
    long[] nanos = new long[2_000];
    for (int i = 0; i < nanos.length; i++) {
      nanos[i] = load.exchange();
    }
    Arrays.sort(nanos);
    double medianMillis = nanos[nanos.length / 2] / 1e6;
    double p99Millis = nanos[nanos.length * 99 / 100] / 1e6;
    System.out.printf(
        "%d workers, %d tasks running, %d jobs waiting, %d teams: decision median %.3f ms, p99 %.3f"
            + " ms, heap %.1f MB%n",
        workers,
        load.runningTasks,
        load.waiting,
        teams,
        medianMillis,
        p99Millis,
        (heapBytes() - heapBefore) / 1e6);
    return medianMillis < 10 && p99Millis < 50 && load.runningTasks > 0;
  }

  /** Shows a decision that takes long just when guarantees are lost or many jobs arrive. */
  private static boolean measureDataCentresOut() {
    LoadedScheduler load = new LoadedScheduler(1_700, 65, 21, LARGE_GUARANTEES);
    load.fill(9_900);
    long[] leave = new long[8];
    long[] back = new long[8];
    long[] after = new long[8 * 50];
    for (int round = 0; round < leave.length; round++) {
      leave[round] = load.takeOut(Set.of("dc" + round, "dc" + (round + 1)));
      for (int i = 0; i < 50; i++) {
        after[round * 50 + i] = load.exchange();
      }
      back[round] = load.takeOut(Set.of());
    }
    long burst = load.burst(2_500);
    Arrays.sort(leave);
    Arrays.sort(back);
    Arrays.sort(after);
    System.out.printf(
        "1700 workers, 92%% guaranteed: leave of 2 data centres median %.1f ms, most %.1f ms;"
            + " return %.1f ms; decisions while out median %.1f ms, p99 %.1f ms; slowest decision"
            + " in a burst of 2500 jobs %.1f ms%n",
        leave[4] / 1e6,
        leave[7] / 1e6,
        back[4] / 1e6,
        after[200] / 1e6,
        after[396] / 1e6,
        burst / 1e6);
    return after[200] < 10e6 && after[396] < 50e6;
  }

  /** Time of this thread only, so that other work on the machine does not show in the figures. */
  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static final class LoadedScheduler {

    private final Random random = new Random(7);
    private final Scheduler scheduler = new GuaranteeSchedulerFactory().create();
    private final List<JobRequest> running = new ArrayList<>();
    private final Map<String, JobRequest> known = new HashMap<>();
    private final int teams;
    private final List<TeamPolicy> policies = new ArrayList<>();
    private long nowMillis;
    private int jobs;
    private int runningTasks;
    private int waiting;

    LoadedScheduler(int workers, int teams, int dataCentres, List<GangShape> guarantees) {
      this.teams = teams;
      for (int w = 0; w < workers; w++) {
        int rack = w / 8;
        String dataCentre = "dc" + rack % dataCentres;
        scheduler.workerChanged(new WorkerState("w" + w, "r" + rack, dataCentre, WORKER, true));
      }
      for (int t = 0; t < teams; t++) {
        policies.add(new TeamPolicy("t" + t, WORKER.times(workers / 2), 1 + t % 3, guarantees));
      }
      if (!scheduler.check(config(Set.of())).isSuccess()) {
        throw new IllegalStateException("the guarantees cannot be formed");
      }
      scheduler.configure(config(Set.of()));
    }

    private SchedulingConfig config(Set<String> out) {
      return new SchedulingConfig(1, "fragmentation", policies, out, Set.of());
    }

    /** Takes data centres out, or returns them, and decides; returns the nanoseconds of both. */
    long takeOut(Set<String> out) {
      nowMillis += 1_000;
      long start = cpuNanos();
      scheduler.configure(config(out));
      return cpuNanos() - start + decide();
    }

    /** Submits many jobs and decides until nothing more starts; returns the slowest decision. */
    long burst(int count) {
      for (int i = 0; i < count; i++) {
        submit();
      }
      long slowest = 0;
      for (int i = 0; i < count / 50; i++) {
        nowMillis += 10;
        slowest = Math.max(slowest, decide());
      }
      return slowest;
    }

    void fill(int tasks) {
      while (runningTasks < tasks && waiting < 400) {
        submit();
        decide();
      }
    }

    /** Ends a job, submits another and decides; returns the nanoseconds of the decision. */
    long exchange() {
      nowMillis += 1_000;
      JobRequest ended = running.remove(random.nextInt(running.size()));
      runningTasks -= ended.shape().tasks();
      scheduler.gangEnded(ended.jobId(), EndReason.COMPLETED, List.of(), nowMillis);
      submit();
      return decide();
    }

    private void submit() {
      int size = random.nextInt(100);
      int tasks = size < 60 ? 1 + random.nextInt(4) : size < 95 ? 8 : size < 99 ? 16 : 64;
      Adjacency adjacency = ADJACENCIES.get(random.nextInt(tasks > 8 ? 2 : 3));
      if (tasks > 8 && adjacency == Adjacency.WORKER) {
        adjacency = Adjacency.RACK;
      }
      ResourceVector perTask = new ResourceVector(1 + random.nextInt(3), 8_000, 1);
      JobRequest job =
          new JobRequest(
              "j" + jobs++,
              "t" + random.nextInt(teams),
              "k" + random.nextInt(3),
              new GangShape(tasks, perTask, adjacency),
              random.nextInt(20) == 0,
              1_000,
              random.nextInt(10) > 0,
              nowMillis);
      known.put(job.jobId(), job);
      scheduler.jobQueued(job);
      waiting++;
    }

    private long decide() {
      long start = cpuNanos();
      List<Decision> decisions = scheduler.decide(nowMillis);
      long nanos = cpuNanos() - start;
      for (Decision decision : decisions) {
        JobRequest job = requireNonNull(known.get(decision.jobId()), "unknown job");
        if (decision instanceof Decision.Place) {
          running.add(job);
          runningTasks += job.shape().tasks();
          waiting--;
        } else if (decision instanceof Decision.Preempt) {
          running.remove(job);
          runningTasks -= job.shape().tasks();
          waiting++;
          scheduler.gangEnded(job.jobId(), EndReason.PREEMPTED, List.of(), nowMillis);
        } else {
          waiting--;
        }
      }
      return nanos;
    }
  }
}
