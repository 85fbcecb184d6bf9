package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

/** A membership change that brings the voters one step closer to the target. */
public sealed interface VoterChange {

  /**
   * Returns the reason of the change, for the log.
   *
   * @return one sentence
   */
  String reason();

  /**
   * Adds a replica as a voter.
   *
   * @param replicaId the replica
   * @param reason reason of the change
   */
  record Add(String replicaId, String reason) implements VoterChange {

    /**
     * Rejects missing components.
     *
     * @throws NullPointerException if a component is null
     */
    public Add {
      requireNonNull(replicaId, "replicaId is null");
      requireNonNull(reason, "reason is null");
    }
  }

  /**
   * Removes a voter or learner.
   *
   * @param replicaId the replica
   * @param reason reason of the change
   */
  record Remove(String replicaId, String reason) implements VoterChange {

    /**
     * Rejects missing components.
     *
     * @throws NullPointerException if a component is null
     */
    public Remove {
      requireNonNull(replicaId, "replicaId is null");
      requireNonNull(reason, "reason is null");
    }
  }
}
