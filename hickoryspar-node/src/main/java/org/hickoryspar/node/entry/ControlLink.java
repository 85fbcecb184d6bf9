package org.hickoryspar.node.entry;

import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimBatchResult;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.JobResult;
import org.hickoryspar.protocol.OperatorCall;
import org.hickoryspar.protocol.OperatorResult;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeBatchResult;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/**
 * Calls of an entry to the control leader.
 *
 * <p>Implementations find the leader, also after it has changed. After a failure with the code
 * {@code "unavailable"} the call was not sent; after any other failure it may have taken effect.
 * Futures never complete exceptionally.
 */
public interface ControlLink {

  /**
   * Claims idempotency keys durably, before their requests are sent.
   *
   * @param batch the claims
   * @param timeoutMillis timeout of the call in milliseconds
   * @return one result per claim, in the order of the claims
   */
  CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long timeoutMillis);

  /**
   * Records the outcomes of claimed requests.
   *
   * @param batch the outcomes
   * @param timeoutMillis timeout of the call in milliseconds
   * @return success when the outcomes are durable
   */
  CompletableFuture<Result<OutcomeBatchResult>> record(OutcomeBatch batch, long timeoutMillis);

  /**
   * Confirms the configuration in force and requests a newer one; without a change, control
   * responds after at most 1 s.
   *
   * @param watch the version in force
   * @param timeoutMillis timeout of the call in milliseconds
   * @return the update and the duration of the lease, which starts at the time of the call
   */
  CompletableFuture<Result<ConfigUpdate>> watch(ConfigWatch watch, long timeoutMillis);

  /**
   * Requests leases of slots beyond the base share.
   *
   * @param request the number of slots demanded, by minion
   * @param timeoutMillis timeout of the call in milliseconds
   * @return the number of slots granted, by minion, and the duration of the leases, which start at
   *     the time of the call
   */
  CompletableFuture<Result<SlotLeaseGrant>> leaseSlots(
      SlotLeaseRequest request, long timeoutMillis);

  /**
   * Submits, reads, lists or cancels jobs.
   *
   * @param call the job call
   * @param traceParent W3C trace context, or an empty string
   * @param timeoutMillis timeout of the call in milliseconds
   * @return the status and the body of the HTTP response
   */
  CompletableFuture<Result<JobResult>> job(JobCall call, String traceParent, long timeoutMillis);

  /**
   * Executes an operator call.
   *
   * @param call the operator call
   * @param traceParent W3C trace context, or an empty string
   * @param timeoutMillis timeout of the call in milliseconds
   * @return the status and the body of the HTTP response
   */
  CompletableFuture<Result<OperatorResult>> operator(
      OperatorCall call, String traceParent, long timeoutMillis);
}
