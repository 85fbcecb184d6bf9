package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Whether one guaranteed shape can be formed now.
 *
 * @param team the team that holds the guarantee
 * @param shape the guaranteed shape
 * @param formable whether it can be formed together with all other guarantees
 * @param workers where it would be formed, in task order; empty when it cannot be
 * @param wouldPreempt the jobs that would be preempted
 * @param missing one sentence on what is missing; empty when it can be formed
 */
public record GuaranteeReport(
    String team,
    GangShape shape,
    boolean formable,
    List<String> workers,
    List<String> wouldPreempt,
    String missing) {

  /** Copies the collections. */
  public GuaranteeReport {
    requireNonNull(team, "team is null");
    requireNonNull(shape, "shape is null");
    requireNonNull(missing, "missing is null");
    workers = List.copyOf(workers);
    wouldPreempt = List.copyOf(wouldPreempt);
  }
}
