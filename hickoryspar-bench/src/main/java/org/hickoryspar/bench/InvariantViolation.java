package org.hickoryspar.bench;

/**
 * Kinds of violated invariants of a scheduler. Reports count them under {@code broken-promise} and
 * the lower-case name of the constant.
 */
public enum InvariantViolation {
  /** The tasks on a worker exceed its capacity. */
  OVERCOMMIT,
  /** A placement does not have one worker for each task of the gang. */
  PARTIAL_GANG,
  /** The workers of a placement violate the adjacency of the job. */
  ADJACENCY,
  /** A placement names a worker that is unknown, silent or in a data centre out of service. */
  OUT_OF_SERVICE,
  /** A placement prevents a guarantee that could be formed before. */
  GUARANTEE,
  /** A non-preemptible gang is preempted. */
  NON_PREEMPTIBLE_PREEMPTED,
  /** A team exceeds its quota. */
  QUOTA,
  /** A job that does not wait is placed, or one that holds no resources is preempted. */
  WRONG_STATE
}
