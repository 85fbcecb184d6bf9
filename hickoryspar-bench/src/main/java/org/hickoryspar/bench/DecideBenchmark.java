package org.hickoryspar.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.jspecify.annotations.Nullable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;

/** JMH benchmark of one call of {@code decide} after the submission of one job, at steady load. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecideBenchmark {

  @Param({"30", "120", "480", "1700"})
  private int workers;

  @Param({"first-fit"})
  private String scheduler = "first-fit";

  private @Nullable SteadyState state;
  private @Nullable JobRequest job;
  private List<Decision> decisions = List.of();
  private long jobNumber;

  /** Creates the benchmark state; called by JMH. */
  public DecideBenchmark() {}

  /** Creates the scheduler with a number of running tasks in proportion to the fleet. */
  @Setup(Level.Trial)
  public void load() {
    Variant variant = Variant.parse(scheduler, "fragmentation");
    state = new SteadyState(variant, workers, workers * 9_900 / Deployment.TWO_YEAR_WORKERS, 0);
  }

  /** Submits the job for the next measured call. */
  @Setup(Level.Invocation)
  public void submit() {
    if (state != null) {
      job = state.newJob("team-" + (1 + jobNumber % 4), jobNumber++);
      state.scheduler().jobQueued(job);
    }
  }

  /**
   * Calls the scheduler once.
   *
   * @return the decisions, so that the call is not removed as dead code
   */
  @Benchmark
  public List<Decision> decide() {
    if (state != null) {
      decisions = state.scheduler().decide(state.nowMillis());
    }
    return decisions;
  }

  /** Removes the job and its effects, so that each call starts from the same load. */
  @TearDown(Level.Invocation)
  public void restore() {
    if (state != null && job != null) {
      state.undo(job, decisions);
    }
  }
}
