package org.hickoryspar.kernel.scheduling;

/** Says how much is lost when a gang is preempted; registered in {@code META-INF/services}. */
public interface PreemptionPolicy {

  /**
   * Returns the name under which the policy is chosen.
   *
   * @return the name, for example {@code "work-lost"}
   */
  String name();

  /**
   * Prices the preemption of a gang; the cheapest set of victims is chosen.
   *
   * @param victim the gang
   * @param nowMillis replicated time
   * @return the price, not negative
   */
  double cost(RunningGang victim, long nowMillis);

  /** Prices a gang by the work since its last checkpoint, in accelerator seconds. */
  final class WorkLost implements PreemptionPolicy {

    /**
     * Accelerator seconds that stopping and starting a task costs by itself; keeps a fresh gang
     * from being free to preempt. The stop takes up to 5 s and the next start a few more.
     */
    private static final double RESTART_COST_SECONDS = 10;

    /** Preempting urgent work for other work is the last choice. */
    private static final double URGENT_COST_FACTOR = 100;

    /** Makes the policy; called by {@code ServiceLoader}. */
    public WorkLost() {}

    @Override
    public String name() {
      return "work-lost";
    }

    @Override
    public double cost(RunningGang victim, long nowMillis) {
      GangShape shape = victim.job().shape();
      double accelerators = shape.tasks() * Math.max(0.1, shape.perTask().accelerators());
      double lostSeconds =
          Math.max(0, nowMillis - victim.checkpointMillis()) / 1e3 + RESTART_COST_SECONDS;
      return accelerators * lostSeconds * (victim.job().urgent() ? URGENT_COST_FACTOR : 1);
    }
  }
}
