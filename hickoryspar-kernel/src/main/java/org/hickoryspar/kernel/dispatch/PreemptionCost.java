package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.value.Resources;

/** Computes the cost of preempting a run. */
interface PreemptionCost {

  /** Returns the cost of stopping a run now. */
  double of(ActiveRun run, long nowMillis);

  /** Weight of an accelerator relative to one core. */
  int CORES_PER_ACCELERATOR = 8;

  /** Returns the work that a number of tasks performs in a time, in core-milliseconds. */
  static double coreMillis(Resources demand, int tasks, long millis) {
    double cores =
        demand.cpuMillicores() / WorkLost.MILLICORES
            + demand.accelerators() * CORES_PER_ACCELERATOR;
    return cores * tasks * millis;
  }

  /**
   * Measures the cost by the lost work in core-milliseconds. Checkpointed work is not lost, and a
   * run that is already stopping costs nothing. Each earlier interruption of a group adds the same
   * cost again, so that others are chosen before it.
   */
  final class WorkLost implements PreemptionCost {

    private static final double MILLICORES = 1_000.0;

    /** Time to stop and restart a run; the minimum loss of a preemption. */
    private static final long RESTART_MILLIS = 500;

    @Override
    public double of(ActiveRun run, long nowMillis) {
      if (run.isStopRequested()) {
        return 0;
      }
      Resources demand = run.members().get(0).demand();
      long lostMillis = run.step().getCheckpointing() ? 0 : run.runningMillis(nowMillis);
      return coreMillis(demand, run.members().size(), lostMillis + RESTART_MILLIS)
          * (1 + run.interruptions());
    }
  }
}
