package org.hickoryspar.kernel.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.ClaimBatchResult;

/**
 * Result of applying a command to the {@link ControlState}. It is the same on every replica, except
 * for the number of a batch of workflow events.
 */
public sealed interface CommandResult {

  /** The command was applied, including when the state already reflected it. */
  record Accepted() implements CommandResult {}

  /**
   * The command was refused and did not change the state.
   *
   * @param problem stable code and message of the reason
   */
  record Refused(Problem problem) implements CommandResult {

    /** Throws {@link NullPointerException} if {@code problem} is null. */
    public Refused {
      requireNonNull(problem, "problem is null");
    }
  }

  /**
   * A change of the fleet configuration was accepted.
   *
   * @param version version that the change produced; for a retransmission, that of its first copy
   */
  record FleetAccepted(long version) implements CommandResult {}

  /**
   * A change of the fleet configuration was refused because its base version is not current.
   *
   * @param version current version
   * @param owner owner of the change that produced the current version, empty for version 0
   * @param timeMillis replicated time of that change in milliseconds since the epoch, 0 for version
   *     0
   */
  record FleetConflict(long version, String owner, long timeMillis) implements CommandResult {

    /** Throws {@link NullPointerException} if {@code owner} is null. */
    public FleetConflict {
      requireNonNull(owner, "owner is null");
    }
  }

  /**
   * A batch of claims was processed.
   *
   * @param result one result per claim, in the order of the batch
   */
  record Claimed(ClaimBatchResult result) implements CommandResult {

    /** Throws {@link NullPointerException} if {@code result} is null. */
    public Claimed {
      requireNonNull(result, "result is null");
    }
  }

  /**
   * A submission or cancellation of a job was recorded.
   *
   * @param jobId identifier of the job; for a retransmitted submission, that of the first one
   */
  record JobRecorded(String jobId) implements CommandResult {

    /** Throws {@link NullPointerException} if {@code jobId} is null. */
    public JobRecorded {
      requireNonNull(jobId, "jobId is null");
    }
  }

  /**
   * A batch of workflow events was applied.
   *
   * @param batchNumber number of the batch; a local counter that differs between replicas
   * @param problems for each event the reason why it was refused, or empty if it was applied
   */
  record WorkflowsApplied(long batchNumber, List<Optional<Problem>> problems)
      implements CommandResult {

    /** Copies {@code problems}; throws {@link NullPointerException} if it is null. */
    public WorkflowsApplied {
      problems = List.copyOf(problems);
    }
  }
}
