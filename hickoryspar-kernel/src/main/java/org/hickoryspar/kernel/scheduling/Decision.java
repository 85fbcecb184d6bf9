package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** A decision of the scheduler that the leader proposes to the replicated state. */
public sealed interface Decision {

  /**
   * Returns the job that the decision concerns.
   *
   * @return the identifier of the job
   */
  String jobId();

  /**
   * Starts a whole gang on workers with enough free resources.
   *
   * @param jobId the job
   * @param workers the worker of each task, in task order
   */
  record Place(String jobId, List<String> workers) implements Decision {

    /**
     * Copies the list of workers.
     *
     * @throws NullPointerException if a component or a worker is null
     */
    public Place {
      requireNonNull(jobId, "jobId is null");
      workers = List.copyOf(workers);
    }
  }

  /**
   * Checkpoints and stops a whole gang so that another job can start; the victim is queued again.
   *
   * @param jobId the victim
   * @param beneficiaryJobId the job for which the resources are reserved; the victim itself if it
   *     is moved to restore a guarantee
   * @param reason one sentence for the victim's owner
   */
  record Preempt(String jobId, String beneficiaryJobId, String reason) implements Decision {

    /**
     * Rejects null components.
     *
     * @throws NullPointerException if a component is null
     */
    public Preempt {
      requireNonNull(jobId, "jobId is null");
      requireNonNull(beneficiaryJobId, "beneficiaryJobId is null");
      requireNonNull(reason, "reason is null");
    }
  }

  /**
   * Ends a job that can never be placed or that has failed too often.
   *
   * @param jobId the job
   * @param reason one sentence for the job's owner
   */
  record Reject(String jobId, String reason) implements Decision {

    /**
     * Rejects null components.
     *
     * @throws NullPointerException if a component is null
     */
    public Reject {
      requireNonNull(jobId, "jobId is null");
      requireNonNull(reason, "reason is null");
    }
  }
}
