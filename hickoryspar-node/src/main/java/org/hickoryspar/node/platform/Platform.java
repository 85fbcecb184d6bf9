package org.hickoryspar.node.platform;

import java.util.List;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;

/**
 * The platform that runs tasks on workers under leases.
 *
 * <p>Calls block up to the time-out of the implementation. A failed call may have taken effect; the
 * lease bounds for how long. Every operation on a lease may be repeated.
 */
public interface Platform {

  /**
   * Lists the workers.
   *
   * @return the workers, or a problem when the platform did not answer
   */
  Result<List<WorkerState>> inventory();

  /**
   * Holds the resources of a task on a worker; nothing runs yet.
   *
   * @param request what to hold, where and for how long
   * @return the lease id, or a problem with code {@code "stale-token"}, {@code "no-capacity"},
   *     {@code "no-worker"} or {@code "unreachable"}
   */
  Result<String> prepare(PrepareRequest request);

  /**
   * Starts a prepared task, unless its start limit has passed.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader that starts it
   * @return the lease id, or a problem with code {@code "too-late"}, {@code "no-lease"}, {@code
   *     "stale-token"} or {@code "unreachable"}
   */
  Result<String> start(String leaseId, long fencingToken);

  /**
   * Extends leases.
   *
   * @param leaseIds the leases
   * @param fencingToken term of the leader
   * @param leaseMillis the new length of each, from now
   * @return the leases that were extended, or a problem
   */
  Result<List<String>> renew(List<String> leaseIds, long fencingToken, long leaseMillis);

  /**
   * Saves the work of a running task.
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
   * Stops a task and frees its lease; succeeds also when the lease is unknown.
   *
   * @param leaseId the lease
   * @param fencingToken term of the leader
   * @return the lease id, or a problem when the worker did not confirm
   */
  Result<String> stop(String leaseId, long fencingToken);

  /**
   * Reports all leases, with a lag.
   *
   * @return one report per lease, ended ones included for a while, or a problem
   */
  Result<List<TaskReport>> usage();

  /**
   * What to hold for a task.
   *
   * @param leaseId chosen by the caller; preparing the same lease again changes nothing
   * @param jobId the job
   * @param task index of the task in its gang
   * @param workerId the worker
   * @param resources the resources of the task
   * @param fencingToken term of the leader; a worker refuses one older than it has seen
   * @param leaseMillis time after which the worker stops the task unless it is renewed
   * @param startBeforeMillis time from now after which the task may no longer start
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
