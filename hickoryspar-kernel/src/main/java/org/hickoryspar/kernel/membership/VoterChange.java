package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

/** One step towards the voters that are wanted. */
public sealed interface VoterChange {

  /**
   * Returns why the step is taken.
   *
   * @return one sentence
   */
  String reason();

  /**
   * A replica shall become a voter.
   *
   * @param replicaId the replica
   * @param reason why
   */
  record Add(String replicaId, String reason) implements VoterChange {

    /** Checks the components. */
    public Add {
      requireNonNull(replicaId, "replicaId is null");
      requireNonNull(reason, "reason is null");
    }
  }

  /**
   * A replica shall no longer be a member.
   *
   * @param replicaId the replica
   * @param reason why
   */
  record Remove(String replicaId, String reason) implements VoterChange {

    /** Checks the components. */
    public Remove {
      requireNonNull(replicaId, "replicaId is null");
      requireNonNull(reason, "reason is null");
    }
  }
}
