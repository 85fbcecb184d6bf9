package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.value.Result;
import org.jspecify.annotations.Nullable;

/** Places whole gangs within quotas, under the guarantees of all teams. */
public final class GuaranteeScheduler implements Scheduler {

  private final ClusterState state = new ClusterState();
  private final CandidateSearch search = new CandidateSearch(state.fleet());

  /** Makes a scheduler without workers, jobs or configuration. */
  public GuaranteeScheduler() {}

  @Override
  public Result<Long> check(SchedulingConfig config) {
    return Result.success(config.version());
  }

  @Override
  public void configure(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    Fleet fleet = state.fleet();
    fleet.setOut(config.dataCentresOut(), config.workersOut());
    for (int worker = 0; worker < fleet.bound(); worker++) {
      refresh(worker);
    }
    state.teams().values().forEach(team -> team.setPolicy(null));
    config.teams().forEach(policy -> state.team(policy.team()).setPolicy(policy));
  }

  @Override
  public void workerChanged(WorkerState worker) {
    refresh(state.fleet().put(requireNonNull(worker, "worker is null")));
  }

  @Override
  public void workerRemoved(String workerId) {
    Integer number = state.fleet().find(requireNonNull(workerId, "workerId is null"));
    if (number != null) {
      state.fleet().remove(number);
    }
  }

  @Override
  public void jobQueued(JobRequest job) {
    state.waiting().add(requireNonNull(job, "job is null"), false);
  }

  @Override
  public void jobRemoved(String jobId) {
    state.waiting().remove(requireNonNull(jobId, "jobId is null"));
  }

  @Override
  public void gangRecovered(RunningGang running) {
    requireNonNull(running, "running is null");
    int[] workers = running.workers().stream().mapToInt(state.fleet()::findOrReserve).toArray();
    Gang gang =
        new Gang(running.job(), workers, running.startedMillis(), running.checkpointMillis());
    if (running.stopping()) {
      gang.stop();
    }
    state.start(gang);
  }

  @Override
  public void gangCheckpointed(String jobId, long nowMillis) {
    Gang gang = state.gangs().get(requireNonNull(jobId, "jobId is null"));
    if (gang != null) {
      gang.checkpointed(nowMillis);
    }
  }

  @Override
  public void gangEnded(
      String jobId, EndReason reason, List<String> faultyWorkers, long nowMillis) {
    Gang gang = state.end(requireNonNull(jobId, "jobId is null"));
    if (gang != null && reason != EndReason.COMPLETED && reason != EndReason.CANCELLED) {
      state.waiting().add(gang.job(), false);
    }
  }

  @Override
  public List<Decision> decide(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    for (boolean urgent : new boolean[] {true, false}) {
      for (Map.Entry<String, List<JobClass>> entry :
          List.copyOf(state.waiting().byTeam(urgent).entrySet())) {
        for (JobClass jobClass : List.copyOf(entry.getValue())) {
          placeAll(jobClass, nowMillis, decisions);
        }
      }
    }
    return decisions;
  }

  private void placeAll(JobClass jobClass, long nowMillis, List<Decision> decisions) {
    while (!jobClass.isEmpty()) {
      JobRequest job = jobClass.head();
      int[] workers = findFree(job);
      if (workers == null) {
        return;
      }
      state.waiting().remove(job.jobId());
      state.start(new Gang(job, workers, nowMillis, nowMillis));
      decisions.add(new Decision.Place(job.jobId(), state.fleet().names(workers)));
    }
  }

  private int @Nullable [] findFree(JobRequest job) {
    GangShape shape = job.shape();
    if (!state.team(job.team()).hasQuotaFor(shape.perTask().times(shape.tasks()))) {
      return null;
    }
    Demand demand =
        new Demand(shape.tasks(), shape.adjacency(), shape.perTask(), null, worker -> true);
    List<int[]> found = search.find(demand, 1);
    return found.isEmpty() ? null : found.get(0);
  }

  @Override
  public String explain(String jobId, long nowMillis) {
    JobRequest job = state.waiting().get(requireNonNull(jobId, "jobId is null"));
    return job == null
        ? "Job " + jobId + " does not wait."
        : "Job " + jobId + " waits for " + job.shape().tasks() + " free places.";
  }

  @Override
  public List<GuaranteeReport> guarantees() {
    return state.teams().values().stream()
        .map(TeamState::policy)
        .flatMap(policy -> policy == null ? java.util.stream.Stream.empty() : reports(policy))
        .toList();
  }

  private static java.util.stream.Stream<GuaranteeReport> reports(TeamPolicy policy) {
    return policy.guarantees().stream()
        .map(
            shape ->
                new GuaranteeReport(
                    policy.team(), shape, false, List.of(), List.of(), "not computed yet"));
  }

  @Override
  public List<String> isolatedWorkers() {
    return List.of();
  }

  private void refresh(int worker) {
    state.fleet().setUsable(worker, state.fleet().isIn(worker));
  }

  @Override
  public String toString() {
    return "GuaranteeScheduler" + Arrays.asList(state.gangs().size(), state.waiting().size());
  }
}
