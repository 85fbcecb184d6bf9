package org.hickoryspar.node.control;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.RunningGang;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.platform.Platform;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.JobSpec;
import org.hickoryspar.protocol.SubmitJob;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SchedulingLoopTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long WALL_CLOCK_MILLIS = 1_700_000_000_000L;

  private final Set<String> queuedJobs = ConcurrentHashMap.newKeySet();
  private final ControlState state = new ControlState();
  private final LeaderLog log = new LeaderLog();
  private SchedulingLoop loop;

  @BeforeMethod
  void start() {
    loop =
        new SchedulingLoop(
            state,
            new Proposer(log, () -> WALL_CLOCK_MILLIS),
            new UnreachablePlatform(),
            new RecordingSchedulerFactory(),
            () -> System.nanoTime() / 1_000_000);
    loop.start();
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    loop.close();
  }

  /**
   * Guards against a job that waits until the next election, because it was recorded while the
   * lease of the leader had lapsed for a moment.
   */
  @Test
  public void shouldQueueJobWhenItIsRecordedBetweenTwoLeasesOfATerm() {
    log.status = LeaderLog.statusOf(3, true);
    await().atMost(TIMEOUT).until(() -> loop.isolatedWorkers().get().isSuccess());

    Command submission = submission("job-1");
    assertEquals(state.apply(submission), new CommandResult.JobRecorded("job-1"));
    log.status = LeaderLog.statusOf(3, false);
    loop.handleApplied(submission);
    log.status = LeaderLog.statusOf(3, true);

    await().atMost(TIMEOUT).until(() -> queuedJobs.contains("job-1"));
  }

  private static Command submission(String jobId) {
    return Command.newBuilder()
        .setTimeMillis(WALL_CLOCK_MILLIS)
        .setSubmitJob(
            SubmitJob.newBuilder()
                .setJobId(jobId)
                .setIdempotencyKey(keyCreatedAt(WALL_CLOCK_MILLIS))
                .setSpec(JobSpec.newBuilder().setTeam("team").setTasks(1).setAdjacency("none")))
        .build();
  }

  /** Returns a UUID of version 7. */
  private static String keyCreatedAt(long millis) {
    return String.format("%08x-%04x-7000-8000-000000000001", millis >> 16, millis & 0xffff);
  }

  /** Creates schedulers that record the jobs in their queue and decide nothing. */
  private final class RecordingSchedulerFactory implements SchedulerFactory {

    @Override
    public String name() {
      return "recording";
    }

    @Override
    public Scheduler create() {
      return new RecordingScheduler();
    }
  }

  private final class RecordingScheduler implements Scheduler {

    @Override
    public Result<Long> check(SchedulingConfig config) {
      return Result.success(1L);
    }

    @Override
    public void configure(SchedulingConfig config) {}

    @Override
    public void workerChanged(WorkerState worker) {}

    @Override
    public void workerRemoved(String workerId) {}

    @Override
    public void jobQueued(JobRequest job) {
      queuedJobs.add(job.jobId());
    }

    @Override
    public void jobRemoved(String jobId) {}

    @Override
    public void gangRecovered(RunningGang gang) {}

    @Override
    public void gangCheckpointed(String jobId, long checkpointMillis) {}

    @Override
    public void gangEnded(
        String jobId, EndReason reason, List<String> faultyWorkers, long endedMillis) {}

    @Override
    public List<Decision> decide(long nowMillis) {
      return List.of();
    }

    @Override
    public String explain(String jobId, long nowMillis) {
      return "";
    }

    @Override
    public List<GuaranteeReport> guarantees() {
      return List.of();
    }

    @Override
    public List<String> isolatedWorkers() {
      return List.of();
    }
  }

  /** A platform that does not respond to any call. */
  private static final class UnreachablePlatform implements Platform {

    private static <T> Result<T> unreachable() {
      return Result.failure("unavailable", "the platform does not respond");
    }

    @Override
    public Result<List<WorkerState>> inventory() {
      return unreachable();
    }

    @Override
    public Result<String> prepare(PrepareRequest request) {
      return unreachable();
    }

    @Override
    public Result<String> start(String leaseId, long fencingToken) {
      return unreachable();
    }

    @Override
    public Result<List<String>> renew(List<String> leaseIds, long fencingToken, long leaseMillis) {
      return unreachable();
    }

    @Override
    public Result<String> checkpoint(String leaseId, long fencingToken) {
      return unreachable();
    }

    @Override
    public Result<String> throttle(String leaseId, long fencingToken, int percent) {
      return unreachable();
    }

    @Override
    public Result<String> stop(String leaseId, long fencingToken) {
      return unreachable();
    }

    @Override
    public Result<List<TaskReport>> usage() {
      return unreachable();
    }
  }
}
