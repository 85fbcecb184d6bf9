package org.hickoryspar.kernel.scheduling;

import java.util.List;
import org.hickoryspar.kernel.value.Result;

/**
 * Decides which gangs run where.
 *
 * <p>The caller feeds events in the order of the replicated log and proposes the decisions. A
 * decision takes effect inside the scheduler at once: the resources of a {@link Decision.Place}
 * count as held until {@link #gangEnded} is called, also when the proposal was refused ({@link
 * EndReason#UNDONE}). An implementation is deterministic, reads no clock, and is used by one thread
 * at a time.
 *
 * <pre>{@code
 * scheduler.jobQueued(job);
 * for (Decision decision : scheduler.decide(nowMillis)) {
 *   propose(decision);
 * }
 * }</pre>
 */
public interface Scheduler {

  /**
   * Checks that all guarantees of a configuration can be formed at once on the known workers.
   *
   * @param config the configuration to check
   * @return its version on success, else a problem that names the teams, the shape and the missing
   *     capacity
   */
  Result<Long> check(SchedulingConfig config);

  /**
   * Puts a configuration in force.
   *
   * @param config the configuration
   */
  void configure(SchedulingConfig config);

  /**
   * Adds a worker or replaces what is known of it.
   *
   * @param worker the worker
   */
  void workerChanged(WorkerState worker);

  /**
   * Removes a worker; gangs on it still count until they end.
   *
   * @param workerId the worker
   */
  void workerRemoved(String workerId);

  /**
   * Adds a job to the queue.
   *
   * @param job the job
   */
  void jobQueued(JobRequest job);

  /**
   * Removes a waiting job; does nothing when it does not wait.
   *
   * @param jobId the job
   */
  void jobRemoved(String jobId);

  /**
   * Adds a gang that holds resources already, when a new leader rebuilds the state.
   *
   * @param gang the gang
   */
  void gangRecovered(RunningGang gang);

  /**
   * Records that a gang has saved its work.
   *
   * @param jobId the gang
   * @param nowMillis replicated time of the checkpoint
   */
  void gangCheckpointed(String jobId, long nowMillis);

  /**
   * Releases the resources of a gang. After {@link EndReason#UNDONE}, {@link EndReason#PREEMPTED}
   * and {@link EndReason#TASK_FAILED} the job is queued again.
   *
   * @param jobId the gang
   * @param reason why it ended
   * @param faultyWorkers the workers on which a task failed; empty when none did
   * @param nowMillis replicated time of the end
   */
  void gangEnded(String jobId, EndReason reason, List<String> faultyWorkers, long nowMillis);

  /**
   * Makes all decisions that are possible now.
   *
   * @param nowMillis replicated time
   * @return the decisions, in the order in which they must be proposed
   */
  List<Decision> decide(long nowMillis);

  /**
   * Explains why a job waits.
   *
   * @param jobId the job
   * @param nowMillis replicated time
   * @return one sentence that an operator can act on; says so when the job does not wait
   */
  String explain(String jobId, long nowMillis);

  /**
   * Reports every guarantee.
   *
   * @return one report per guaranteed shape, ordered by team
   */
  List<GuaranteeReport> guarantees();

  /**
   * Lists the workers that are isolated because tasks fail on them.
   *
   * @return identifiers in ascending order
   */
  List<String> isolatedWorkers();
}
