package org.hickoryspar.node.platform;

import java.util.List;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;

/**
 * The platform that runs tasks on workers under leases.
 *
 * <p>Calls block up to the timeout of the implementation. A failed call may have taken effect; the
 * expiry of the lease bounds for how long. All operations on leases are idempotent.
 */
public interface Platform {

  /**
   * Lists the workers.
   *
   * @return the workers, or a problem if the platform did not respond
   */
  Result<List<WorkerState>> inventory();

  /**
   * Reserves the resources of a task on a worker without starting the task.
   *
   * @param request the task, its worker, its resources and the lease
   * @return the lease id, or a problem with code {@code "stale-token"}, {@code "no-capacity"},
   *     {@code "no-worker"} or {@code "unreachable"}
   */
  Result<String> prepare(PrepareRequest request);

  /**
   * Starts a prepared task, unless its start deadline has passed.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader that starts it
   * @return the lease id, or a problem with code {@code "too-late"}, {@code "no-lease"}, {@code
   *     "stale-token"} or {@code "unreachable"}
   */
  Result<String> start(String leaseId, long fencingToken);

  /**
   * Renews leases.
   *
   * @param leaseIds the leases
   * @param fencingToken term of the leader
   * @param leaseMillis new duration of each lease, from now
   * @return the leases that were renewed, or a problem
   */
  Result<List<String>> renew(List<String> leaseIds, long fencingToken, long leaseMillis);

  /**
   * Saves the work of a running task in a checkpoint.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader
   * @return the lease id, or a problem
   */
  Result<String> checkpoint(String leaseId, long fencingToken);

  /**
   * Limits the resources of a running task.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader
   * @param percent share of the declared resources that the task may use
   * @return the lease id, or a problem
   */
  Result<String> throttle(String leaseId, long fencingToken, int percent);

  /**
   * Stops a task and releases its lease; succeeds also if the lease is unknown.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader
   * @return the lease id, or a problem if the worker did not confirm
   */
  Result<String> stop(String leaseId, long fencingToken);

  /**
   * Returns the state of all leases, with a lag.
   *
   * @return one report per lease, for a limited time also of ended ones, or a problem
   */
  Result<List<TaskReport>> usage();

  /**
   * A request to reserve the resources of a task.
   *
   * @param leaseId identifier chosen by the caller; preparing the same lease again has no effect
   * @param jobId the job
   * @param task index of the task in its gang
   * @param workerId the worker
   * @param resources the resources of the task
   * @param fencingToken term of the leader; a worker rejects a lower one than the highest received
   * @param leaseMillis time after which the worker stops the task unless the lease is renewed
   * @param startBeforeMillis start deadline of the task, from now
   * @param runHintMillis declared run time, for the platform's own accounting
   */
  record PrepareRequest(
      String leaseId,
      String jobId,
      int task,
      String workerId,
      ResourceVector resources,
      long fencingToken,
      long leaseMillis,
      long startBeforeMillis,
      long runHintMillis) {}

  /**
   * State of a lease as the platform reports it.
   *
   * @param leaseId the lease
   * @param workerId the worker
   * @param state {@code "prepared"}, {@code "running"}, {@code "succeeded"}, {@code "failed"},
   *     {@code "expired"} or {@code "stopped"}
   * @param coresPercent use of the declared cores, in percent
   * @param memoryMegabytes memory in use
   * @param ageMillis age of the report
   */
  record TaskReport(
      String leaseId,
      String workerId,
      String state,
      int coresPercent,
      int memoryMegabytes,
      long ageMillis) {}
}
