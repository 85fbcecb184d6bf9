package org.hickoryspar.kernel.scheduling;

import java.util.List;
import org.hickoryspar.kernel.value.Result;

/**
 * Decides which gangs run on which workers.
 *
 * <p>The caller passes events in the order of the replicated log and proposes the decisions to it.
 * A decision takes effect in the scheduler immediately: the resources of a {@link Decision.Place}
 * are held until {@link #gangEnded} is called, which includes a refused proposal ({@link
 * EndReason#UNDONE}). Implementations are deterministic, read no clock and are not thread-safe.
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
   * Checks that all guarantees of a configuration can be formed at the same time on the known
   * workers. Does not change the scheduler.
   *
   * @param config the configuration to check
   * @return the version of the configuration, or a problem that names the teams, the shape and the
   *     missing capacity
   */
  Result<Long> check(SchedulingConfig config);

  /**
   * Replaces the configuration.
   *
   * @param config the configuration
   */
  void configure(SchedulingConfig config);

  /**
   * Adds a worker or replaces its state.
   *
   * @param worker the worker
   */
  void workerChanged(WorkerState worker);

  /**
   * Removes a worker; gangs on it hold their resources until they end.
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
   * Removes a waiting job; does nothing if the job does not wait.
   *
   * @param jobId the job
   */
  void jobRemoved(String jobId);

  /**
   * Adds a gang that already holds resources; used when a new leader rebuilds the state.
   *
   * @param gang the gang
   */
  void gangRecovered(RunningGang gang);

  /**
   * Records a checkpoint of a gang.
   *
   * @param jobId the job of the gang
   * @param checkpointMillis replicated time of the checkpoint
   */
  void gangCheckpointed(String jobId, long checkpointMillis);

  /**
   * Releases the resources of a gang. After {@link EndReason#UNDONE}, {@link EndReason#PREEMPTED}
   * and {@link EndReason#TASK_FAILED} the job is queued again.
   *
   * @param jobId the job of the gang
   * @param reason the reason of the end
   * @param faultyWorkers the workers on which a task failed, or which were lost or refused a step;
   *     may be empty
   * @param endedMillis replicated time of the end
   */
  void gangEnded(String jobId, EndReason reason, List<String> faultyWorkers, long endedMillis);

  /**
   * Makes all decisions that are possible at the given time, up to the limits of one round.
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
   * @return one sentence that names the cause and what an operator can do, or why the job does not
   *     wait
   */
  String explain(String jobId, long nowMillis);

  /**
   * Reports the state of every guarantee.
   *
   * @return one report per guaranteed shape, ordered by team
   */
  List<GuaranteeReport> guarantees();

  /**
   * Returns the workers that are isolated because tasks failed on them.
   *
   * @return identifiers in ascending order
   */
  List<String> isolatedWorkers();
}
