package org.hickoryspar.kernel.scheduling;

/** Chooses among possible placements of a gang; registered in {@code META-INF/services}. */
public interface PlacementPolicy {

  /**
   * Returns the name under which configurations choose the policy.
   *
   * @return the name, for example {@code "fragmentation"}
   */
  String name();

  /**
   * Prices a placement; the cheapest one is chosen.
   *
   * @param candidate the placement
   * @return the price
   */
  double cost(PlacementCandidate candidate);

  /** Keeps the shapes formable that wait or are guaranteed. */
  final class Fragmentation implements PlacementPolicy {

    /** Makes the policy; called by {@code ServiceLoader}. */
    public Fragmentation() {}

    @Override
    public String name() {
      return "fragmentation";
    }

    @Override
    public double cost(PlacementCandidate candidate) {
      return candidate.lostShapeAccelerators()
          + 0.2 * candidate.acceleratorsPlannedForGuarantees()
          + 0.05 * candidate.remainingAccelerators()
          + 0.02 * candidate.distinctRacks();
    }
  }

  /** Avoids placements that are likely to be preempted or whose tasks are far apart. */
  final class CompletionTime implements PlacementPolicy {

    /** Makes the policy; called by {@code ServiceLoader}. */
    public CompletionTime() {}

    @Override
    public String name() {
      return "completion-time";
    }

    @Override
    public double cost(PlacementCandidate candidate) {
      return candidate.acceleratorsPlannedForGuarantees()
          + 2.0 * (candidate.distinctRacks() - 1)
          + 0.5 * (candidate.distinctWorkers() - 1)
          + 0.1 * candidate.lostShapeAccelerators();
    }
  }
}
