package org.hickoryspar.kernel.scheduling;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/** Starts gangs: records the placement in the state and adds the decision. */
final class GangStarter {

  private final ClusterState state;
  private final FailureTracker failures;
  private final DataCentreRamp ramp;
  private final BackfillReservations reservations;
  private final IntConsumer refreshUsability;

  GangStarter(
      ClusterState state,
      FailureTracker failures,
      DataCentreRamp ramp,
      BackfillReservations reservations,
      IntConsumer refreshUsability) {
    this.state = state;
    this.failures = failures;
    this.ramp = ramp;
    this.reservations = reservations;
    this.refreshUsability = refreshUsability;
  }

  /** Queues a job, in an equivalence class of its own if it has failed before. */
  void enqueue(JobRequest job) {
    state.waiting().add(job, failures.hasFailed(job.jobId()));
  }

  /** Starts a gang; a guarantee must already be assigned to the workers. */
  void start(
      JobRequest job,
      int[] workers,
      @Nullable GuaranteeState guarantee,
      long nowMillis,
      List<Decision> decisions) {
    EquivalenceClass.Key key = state.waiting().keyOf(job.jobId());
    state.waiting().remove(job.jobId());
    Gang gang = new Gang(job, workers, nowMillis, nowMillis);
    if (guarantee != null) {
      guarantee.setHolderJobId(job.jobId());
      gang.setGuarantee(guarantee);
    }
    state.addGang(gang);
    if (key != null) {
      reservations.gangStarted(key, gang);
    }
    if (ramp.isActive()) {
      for (int worker : workers) {
        ramp.taskStarted(
            state.fleet().dataCentreOfRack(state.fleet().rackOf(worker)),
            gang.perTask().accelerators());
      }
    }
    List<String> workerIds = state.fleet().workerIds(workers);
    decisions.add(new Decision.Place(job.jobId(), workerIds));
    boolean onOneWorker = Arrays.stream(workers).allMatch(worker -> worker == workers[0]);
    if (onOneWorker && failures.recordPlacement(job.jobId(), workerIds, nowMillis) != null) {
      refreshUsability.accept(workers[0]);
    }
  }
}
