package org.hickoryspar.kernel.dispatch;

/** Says what is lost when a run is stopped. */
interface VictimCost {

  /** Returns the cost of stopping a run now. */
  double of(ActiveRun run, long nowMillis);

  /** Counts the work that is lost, in core-milliseconds; what a checkpoint saves is not lost. */
  final class LostWork implements VictimCost {

    /** An accelerator counts as this many cores. */
    private static final int CORES_PER_ACCELERATOR = 8;

    private static final double MILLICORES = 1_000.0;

    /** A run that is stopped loses at least the time to stop and start it. */
    private static final long OVERHEAD_MILLIS = 500;

    @Override
    public double of(ActiveRun run, long nowMillis) {
      if (run.isStopWanted()) {
        return 0;
      }
      Room demand = run.members().get(0).demand();
      double cores =
          demand.cpuMillicores() / MILLICORES + demand.accelerators() * CORES_PER_ACCELERATOR;
      long workedMillis = run.step().getCheckpointing() ? 0 : run.workedMillis(nowMillis);
      return cores * run.members().size() * (workedMillis + OVERHEAD_MILLIS);
    }
  }
}
