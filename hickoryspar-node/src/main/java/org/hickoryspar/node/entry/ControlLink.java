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
 * The link from an entry to the control leader.
 *
 * <p>An implementation finds the leader, also after it has changed. A failure with the code {@code
 * "unavailable"} means that the call was not sent; any other failure may have taken effect. Futures
 * never complete exceptionally.
 */
public interface ControlLink {

  /**
   * Claims keys durably before requests are sent.
   *
   * @param batch the claims
   * @param timeoutMillis how long to wait
   * @return one result per claim, in order
   */
  CompletableFuture<Result<ClaimBatchResult>> claim(ClaimBatch batch, long timeoutMillis);

  /**
   * Records outcomes of claimed requests.
   *
   * @param batch the outcomes
   * @param timeoutMillis how long to wait
   * @return success once they are durable
   */
  CompletableFuture<Result<OutcomeBatchResult>> record(OutcomeBatch batch, long timeoutMillis);

  /**
   * Confirms the configuration in force and asks for the next; answered at once or, when nothing
   * changes, after at most 1 s.
   *
   * @param watch the version in force
   * @param timeoutMillis how long to wait
   * @return the update and the lease, counted from the time of the call
   */
  CompletableFuture<Result<ConfigUpdate>> watch(ConfigWatch watch, long timeoutMillis);

  /**
   * Asks for slots beyond the base share.
   *
   * @param request the slots wanted per minion
   * @param timeoutMillis how long to wait
   * @return the slots granted, counted from the time of the call
   */
  CompletableFuture<Result<SlotLeaseGrant>> leaseSlots(
      SlotLeaseRequest request, long timeoutMillis);

  /**
   * Submits, reads, lists or cancels jobs.
   *
   * @param call the call
   * @param traceParent W3C trace context, or empty
   * @param timeoutMillis how long to wait
   * @return the answer
   */
  CompletableFuture<Result<JobResult>> job(JobCall call, String traceParent, long timeoutMillis);

  /**
   * Carries an operator's call.
   *
   * @param call the call
   * @param traceParent W3C trace context, or empty
   * @param timeoutMillis how long to wait
   * @return the answer
   */
  CompletableFuture<Result<OperatorResult>> operator(
      OperatorCall call, String traceParent, long timeoutMillis);
}
