package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/** A decision of the scheduler that the leader proposes to the replicated state. */
public sealed interface Decision {

  /**
   * Returns the job that the decision is about.
   *
   * @return the job's identifier
   */
  String jobId();

  /**
   * Places a whole gang on workers that are free.
   *
   * @param jobId the job
   * @param workers the worker of each task, in task order
   */
  record Place(String jobId, List<String> workers) implements Decision {

    /** Copies the workers. */
    public Place {
      requireNonNull(jobId, "jobId is null");
      workers = List.copyOf(workers);
    }
  }

  /**
   * Stops a whole running gang so that another job can start; the victim is queued again.
   *
   * @param jobId the gang to be checkpointed and stopped
   * @param beneficiaryJobId the job for which the resources are reserved
   * @param reason one sentence for the victim's owner
   */
  record Preempt(String jobId, String beneficiaryJobId, String reason) implements Decision {

    /** Checks the components. */
    public Preempt {
      requireNonNull(jobId, "jobId is null");
      requireNonNull(beneficiaryJobId, "beneficiaryJobId is null");
      requireNonNull(reason, "reason is null");
    }
  }

  /**
   * Ends a job that can never run, or that has failed on enough healthy workers.
   *
   * @param jobId the job
   * @param reason one sentence for the job's owner
   */
  record Reject(String jobId, String reason) implements Decision {

    /** Checks the components. */
    public Reject {
      requireNonNull(jobId, "jobId is null");
      requireNonNull(reason, "reason is null");
    }
  }
}
