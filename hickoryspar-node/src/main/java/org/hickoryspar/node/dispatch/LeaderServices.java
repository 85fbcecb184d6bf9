package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionReports;

/** Serves the calls that entries and control daemons send to the leader. Thread-safe. */
public final class LeaderServices {

  private static final String LEADER_ROLE = "leader";

  private final Proposer proposer;
  private final ReplicatedLog<CommandResult> log;
  private final DispatchLoop loop;
  private final WorkflowService workflowService;
  private final CatalogService catalogService;
  private final LongSupplier monotonicMillis;
  private final long maxSessionWaitMillis;

  /**
   * Creates the services of a control daemon.
   *
   * @param state the replicated state
   * @param proposer proposes commands
   * @param log the replicated log
   * @param loop the dispatch loop
   * @param enoughVoters returns whether there are enough voters to accept a change of the catalog:
   *     it is then stored on at least one more disk than may be lost
   * @param monotonicMillis monotonic clock in milliseconds
   * @param maxSessionWaitMillis longest wait of a call for a session of this replica, less than the
   *     time after which a client gives up an attempt
   */
  public LeaderServices(
      ControlState state,
      Proposer proposer,
      ReplicatedLog<CommandResult> log,
      DispatchLoop loop,
      BooleanSupplier enoughVoters,
      LongSupplier monotonicMillis,
      long maxSessionWaitMillis) {
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.log = requireNonNull(log, "log is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.workflowService = new WorkflowService(state, proposer, loop);
    this.catalogService = new CatalogService(state, proposer, log, enoughVoters);
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    this.maxSessionWaitMillis = maxSessionWaitMillis;
  }

  /**
   * Serves a call. A call that arrives after this replica was elected and before it may decide
   * waits for a short time, so that clients need not call again and again.
   *
   * @param call the call
   * @return the response; a failure {@code "not-leader"}, {@code "unavailable"} or {@code
   *     "unknown"} if the call may be retried; or another failure, which is final
   */
  public CompletableFuture<Result<Envelope.Builder>> serve(Envelope call) {
    requireNonNull(call, "call is null");
    // Taken before the lease is read, so that a session which starts in between is not missed.
    CompletableFuture<Void> nextSession = loop.nextSession();
    if (!proposer.holdsLease() && log.status().role().equals(LEADER_ROLE)) {
      return nextSession
          .copy()
          .completeOnTimeout(null, maxSessionWaitMillis, TimeUnit.MILLISECONDS)
          .thenCompose(ignored -> serveNow(call));
    }
    return serveNow(call);
  }

  private CompletableFuture<Result<Envelope.Builder>> serveNow(Envelope call) {
    if (!proposer.holdsLease()) {
      return CompletableFuture.completedFuture(
          Result.failure("not-leader", "this replica is not the leader"));
    }
    switch (call.getPayloadCase()) {
      case WORKFLOW_CALL -> {
        return workflowService
            .serve(call.getWorkflowCall(), call.getCallId(), call.getRetried())
            .thenApply(r -> r.map(reply -> Envelope.newBuilder().setWorkflowReply(reply)));
      }
      case CATALOG_CALL -> {
        return catalogService
            .serve(call.getCatalogCall())
            .thenApply(r -> r.map(reply -> Envelope.newBuilder().setCatalogReply(reply)));
      }
      case MINION_REPORTS -> {
        return handleReports(call.getMinionReports());
      }
      default -> {
        return CompletableFuture.completedFuture(
            Result.failure("malformed", "unexpected message " + call.getPayloadCase()));
      }
    }
  }

  private CompletableFuture<Result<Envelope.Builder>> handleReports(MinionReports reports) {
    return loop.submit(
        dispatcher ->
            Result.success(
                Envelope.newBuilder()
                    .setMinionReportsReply(
                        dispatcher.handleReports(reports, monotonicMillis.getAsLong()))));
  }
}
