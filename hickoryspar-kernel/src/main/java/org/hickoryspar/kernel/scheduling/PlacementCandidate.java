package org.hickoryspar.kernel.scheduling;

/** A possible placement of a gang, as input of a placement policy. */
public interface PlacementCandidate {

  /**
   * Returns the shape of the gang.
   *
   * @return the shape
   */
  GangShape shape();

  /**
   * Returns the number of workers that the gang would use.
   *
   * @return number of workers, at least 1
   */
  int distinctWorkers();

  /**
   * Returns the number of racks that the gang would use.
   *
   * @return number of racks, at least 1
   */
  int distinctRacks();

  /**
   * Returns the part of the placement that is planned for idle guarantees, for which the gang may
   * be preempted.
   *
   * @return number of accelerators
   */
  int acceleratorsPlannedForGuarantees();

  /**
   * Returns the capacity that would remain free on the workers of the gang.
   *
   * @return number of accelerators
   */
  int remainingAccelerators();

  /**
   * Returns the size of the waiting and guaranteed shapes that could no longer be formed from free
   * capacity.
   *
   * @return sum of the accelerators of those shapes; a part of a shape is weighted by a tenth
   */
  double lostShapeAccelerators();
}
