package org.hickoryspar.kernel.dispatch;

/** Says what is lost when a run is stopped. */
interface PreemptionCost {

  /** Returns the cost of stopping a run now. */
  double of(ActiveRun run, long nowMillis);

  /** An accelerator counts as this many cores. */
  int CORES_PER_ACCELERATOR = 8;

  /** Returns the work of some tasks in core-milliseconds. */
  static double coreMillis(Room demand, int tasks, long millis) {
    double cores =
        demand.cpuMillicores() / WorkLost.MILLICORES
            + demand.accelerators() * CORES_PER_ACCELERATOR;
    return cores * tasks * millis;
  }

  /** Counts the work that is lost, in core-milliseconds; what a checkpoint saves is not lost. */
  final class WorkLost implements PreemptionCost {

    private static final double MILLICORES = 1_000.0;

    /** A run that is stopped loses at least the time to stop and start it. */
    private static final long RESTART_MILLIS = 500;

    @Override
    public double of(ActiveRun run, long nowMillis) {
      if (run.isStopRequested()) {
        return 0;
      }
      Room demand = run.members().get(0).demand();
      long workedMillis = run.step().getCheckpointing() ? 0 : run.workedMillis(nowMillis);
      return coreMillis(demand, run.members().size(), workedMillis + RESTART_MILLIS);
    }
  }
}
