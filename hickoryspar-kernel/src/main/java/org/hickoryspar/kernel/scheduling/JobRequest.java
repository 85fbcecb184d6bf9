package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * A job as its team submitted it.
 *
 * @param jobId identifier, unique in the cluster
 * @param team the team that owns the job
 * @param kind the team's name for jobs of this sort; run times are learned per team and kind
 * @param shape the resources of the gang
 * @param urgent whether the job belongs to the urgent class
 * @param declaredRunMillis the run time that the team declared; not trusted
 * @param preemptible whether the job may be preempted
 * @param submittedMillis replicated time of submission
 */
public record JobRequest(
    String jobId,
    String team,
    String kind,
    GangShape shape,
    boolean urgent,
    long declaredRunMillis,
    boolean preemptible,
    long submittedMillis) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public JobRequest {
    requireNonNull(jobId, "jobId is null");
    requireNonNull(team, "team is null");
    requireNonNull(kind, "kind is null");
    requireNonNull(shape, "shape is null");
  }
}
