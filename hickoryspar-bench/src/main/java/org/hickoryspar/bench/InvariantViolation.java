package org.hickoryspar.bench;

/** What a scheduler must never do. */
public enum InvariantViolation {
  /** More is placed on a worker than it has. */
  OVERCOMMIT,
  /** A placement has more or fewer workers than the gang has tasks. */
  PARTIAL_GANG,
  /** The workers of a placement are further apart than the job allows. */
  ADJACENCY,
  /** A placement names a data centre that is out, a silent worker or an unknown one. */
  OUT_OF_SERVICE,
  /** A placement makes a guarantee impossible that could be formed before. */
  GUARANTEE,
  /** A gang that may not be preempted is preempted. */
  NON_PREEMPTIBLE_PREEMPTED,
  /** A team holds more than its quota. */
  QUOTA,
  /** A decision is about a job that is not waiting, or not running, as the decision requires. */
  WRONG_STATE
}
