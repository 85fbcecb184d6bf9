package org.hickoryspar.kernel.scheduling;

/** A possible placement of a gang, as a placement policy sees it. */
public interface PlacementCandidate {

  /**
   * Returns the gang.
   *
   * @return its shape
   */
  GangShape shape();

  /**
   * Returns how many workers the gang would use.
   *
   * @return number of workers, at least 1
   */
  int distinctWorkers();

  /**
   * Returns over how many racks the gang would spread.
   *
   * @return number of racks, at least 1
   */
  int distinctRacks();

  /**
   * Returns how much of the placement is planned for guarantees that are not in use, so that the
   * gang may be preempted for them.
   *
   * @return accelerators
   */
  int acceleratorsPlannedForGuarantees();

  /**
   * Returns what would be left free on the workers of the gang.
   *
   * @return accelerators
   */
  int remainingAccelerators();

  /**
   * Returns how many waiting or guaranteed shapes could no longer be formed from free capacity.
   *
   * @return the sum of the accelerators of those shapes; a part of a shape counts a tenth
   */
  double lostShapeAccelerators();
}
