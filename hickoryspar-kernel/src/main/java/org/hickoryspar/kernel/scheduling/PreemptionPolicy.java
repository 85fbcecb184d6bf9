package org.hickoryspar.kernel.scheduling;

/** Determines the cost of preemptions; a plug-in registered in {@code META-INF/services}. */
public interface PreemptionPolicy {

  /**
   * Returns the name by which the policy is selected.
   *
   * @return the name, for example {@code "work-lost"}
   */
  String name();

  /**
   * Returns the cost of preempting a gang; victims with a low total cost are chosen.
   *
   * @param victim the gang
   * @param nowMillis replicated time
   * @return the cost, not negative
   */
  double cost(RunningGang victim, long nowMillis);

  /** Measures the cost by the work since the last checkpoint, in accelerator seconds. */
  final class WorkLost implements PreemptionPolicy {

    /**
     * Time lost by stopping and restarting a gang: the stop takes up to 5 s and the next start a
     * few seconds more. Keeps the cost above 0 for gangs that have just started or checkpointed.
     */
    private static final double RESTART_COST_SECONDS = 10;

    /** Makes urgent gangs the last choice of victims. */
    private static final double URGENT_COST_FACTOR = 100;

    /** Creates the policy; called by {@code ServiceLoader}. */
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
