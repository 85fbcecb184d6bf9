package org.hickoryspar.kernel.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.ClaimBatchResult;

/** The result of a command that was applied to the control state. */
public sealed interface CommandResult {

  /** The command changed the state, or had changed it before. */
  record Accepted() implements CommandResult {}

  /**
   * The command was refused and changed nothing.
   *
   * @param problem why
   */
  record Refused(Problem problem) implements CommandResult {

    /** Checks the problem. */
    public Refused {
      requireNonNull(problem, "problem is null");
    }
  }

  /**
   * A configuration change is accepted.
   *
   * @param version the version that the change produced, also when it was sent again
   */
  record FleetAccepted(long version) implements CommandResult {}

  /**
   * A configuration change names a base version that is not the current one.
   *
   * @param version the current version
   * @param owner owner of the change that produced it
   * @param timeMillis replicated time of that change
   */
  record FleetConflict(long version, String owner, long timeMillis) implements CommandResult {

    /** Checks the components. */
    public FleetConflict {
      requireNonNull(owner, "owner is null");
    }
  }

  /**
   * Claims were decided.
   *
   * @param result one result per claim
   */
  record Claimed(ClaimBatchResult result) implements CommandResult {

    /** Checks the components. */
    public Claimed {
      requireNonNull(result, "result is null");
    }
  }

  /**
   * A job is recorded.
   *
   * @param jobId identifier of the job; that of the first submission when it was sent again
   */
  record JobRecorded(String jobId) implements CommandResult {

    /** Checks the components. */
    public JobRecorded {
      requireNonNull(jobId, "jobId is null");
    }
  }

  /**
   * Events of workflows were applied.
   *
   * @param batchNumber number of the batch, counted by this replica
   * @param problems for each event why it was refused and changed nothing, or empty
   */
  record WorkflowsApplied(long batchNumber, List<Optional<Problem>> problems)
      implements CommandResult {

    /** Copies the list. */
    public WorkflowsApplied {
      problems = List.copyOf(problems);
    }
  }
}
