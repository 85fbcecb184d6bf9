package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The state of one guaranteed shape.
 *
 * @param team the team that holds the guarantee
 * @param shape the guaranteed shape
 * @param formable whether the shape can be formed at the same time as all other guarantees
 * @param workers the planned worker of each task, in task order; empty if not formable
 * @param wouldPreempt the jobs that would be preempted to form the shape
 * @param missing one sentence about the missing resources; empty if formable
 */
public record GuaranteeReport(
    String team,
    GangShape shape,
    boolean formable,
    List<String> workers,
    List<String> wouldPreempt,
    String missing) {

  /**
   * Copies the collections.
   *
   * @throws NullPointerException if a component or an element is null
   */
  public GuaranteeReport {
    requireNonNull(team, "team is null");
    requireNonNull(shape, "shape is null");
    requireNonNull(missing, "missing is null");
    workers = List.copyOf(workers);
    wouldPreempt = List.copyOf(wouldPreempt);
  }
}
