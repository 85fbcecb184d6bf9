package org.hickoryspar.kernel.scheduling;

/** Chooses among placements of a gang; a plug-in registered in {@code META-INF/services}. */
public interface PlacementPolicy {

  /**
   * Returns the name by which configurations select the policy.
   *
   * @return the name, for example {@code "fragmentation"}
   */
  String name();

  /**
   * Returns the cost of a placement; the placement with the lowest cost is chosen.
   *
   * @param candidate the placement
   * @return the cost, comparable between placements of the same gang
   */
  double cost(PlacementCandidate candidate);

  /** Keeps waiting and guaranteed shapes formable. */
  final class Fragmentation implements PlacementPolicy {

    /** Creates the policy; called by {@code ServiceLoader}. */
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

  /** Avoids placements that are likely to be preempted or that spread over workers and racks. */
  final class CompletionTime implements PlacementPolicy {

    /** Creates the policy; called by {@code ServiceLoader}. */
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
