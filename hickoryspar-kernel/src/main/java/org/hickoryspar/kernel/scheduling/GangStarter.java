package org.hickoryspar.kernel.scheduling;

import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/** Puts the decision to start a gang into effect. */
final class GangStarter {

  private final ClusterState state;
  private final FailureTracker faults;
  private final DataCentreRamp ramp;
  private final BackfillReservations reservations;
  private final IntConsumer refresh;

  GangStarter(
      ClusterState state,
      FailureTracker faults,
      DataCentreRamp ramp,
      BackfillReservations reservations,
      IntConsumer refresh) {
    this.state = state;
    this.faults = faults;
    this.ramp = ramp;
    this.reservations = reservations;
    this.refresh = refresh;
  }

  /** Lets a job wait again. */
  void requeue(JobRequest job) {
    state.waiting().add(job, faults.hasFailed(job.jobId()));
  }

  /** Starts a gang; a slot must be planned on these workers already. */
  void start(
      JobRequest job,
      int[] workers,
      @Nullable GuaranteeState slot,
      long nowMillis,
      List<Decision> decisions) {
    EquivalenceClass.Key key = state.waiting().keyOf(job.jobId());
    state.waiting().remove(job.jobId());
    Gang gang = new Gang(job, workers, nowMillis, nowMillis);
    if (slot != null) {
      slot.setHolder(job.jobId());
      gang.setSlot(slot);
    }
    state.start(gang);
    if (key != null) {
      reservations.started(key, gang);
    }
    if (ramp.isActive()) {
      for (int worker : workers) {
        ramp.started(
            state.fleet().dataCentreOfRack(state.fleet().rackOf(worker)),
            gang.perTask().accelerators());
      }
    }
    List<String> names = state.fleet().names(workers);
    decisions.add(new Decision.Place(job.jobId(), names));
    boolean single = Arrays.stream(workers).allMatch(worker -> worker == workers[0]);
    if (single && faults.placed(job.jobId(), names, nowMillis) != null) {
      refresh.accept(workers[0]);
    }
  }
}
