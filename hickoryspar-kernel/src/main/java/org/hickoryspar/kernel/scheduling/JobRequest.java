package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * A job as submitted by its team.
 *
 * @param jobId identifier, unique in the cluster
 * @param team the team that owns the job
 * @param kind category of the job, named by its team; run times are learned per team and kind
 * @param shape resources and adjacency of the gang
 * @param urgent whether the job belongs to the urgent class
 * @param declaredRunMillis run time declared by the team; not trusted
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
   * Rejects null components.
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
