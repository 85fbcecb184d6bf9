package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.catalog.CatalogView;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowValidator;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.CancelWorkflow;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowCall;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowReply;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;

/** Serves the workflow calls of callers on the leader. */
final class WorkflowService {

  private final ControlState state;
  private final Proposer proposer;
  private final DispatchLoop loop;

  WorkflowService(ControlState state, Proposer proposer, DispatchLoop loop) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.loop = requireNonNull(loop, "loop is null");
  }

  /**
   * Serves a call; fails if this replica is not the leader or loses its leadership meanwhile.
   *
   * @param callId identifier of the call, the same for all its attempts
   * @param retried whether an earlier attempt may have taken effect; a submission that one has
   *     stored is accepted although the catalog would now refuse it
   */
  CompletableFuture<Result<WorkflowReply>> serve(
      WorkflowCall call, ByteString callId, boolean retried) {
    CatalogView catalog = state.catalog().view();
    Optional<Queue> queue = catalog.findQueue(call.getHost(), call.getPath());
    Optional<String> team = catalog.findTeamByKey(call.getTeamKey());
    Optional<WorkflowReply> refusal = findRefusal(call, catalog, queue, team);
    if (refusal.isPresent()) {
      return retried && call.hasSubmit()
          ? replyToRetriedSubmission(callId, refusal.get())
          : completed(refusal.get());
    }
    return serve(call, callId, queue.orElseThrow(), team.orElse(""));
  }

  private static Optional<WorkflowReply> findRefusal(
      WorkflowCall call, CatalogView catalog, Optional<Queue> queue, Optional<String> team) {
    if (catalog.version() == 0) {
      return Optional.of(reply(WorkflowReply.Outcome.REFUSED, "there is no catalog yet"));
    }
    if (queue.isEmpty()) {
      return Optional.of(reply(WorkflowReply.Outcome.NO_QUEUE, "no such queue"));
    }
    if (team.isEmpty() && !queue.get().getOpen()) {
      EventLogger.logDecision(
          DispatchLogEvent.CALL_REFUSED,
          call.getPath(),
          "host",
          call.getHost(),
          "kind",
          call.getKindCase(),
          "reason",
          "the key is unknown",
          "catalogVersion",
          catalog.version());
      return Optional.of(reply(WorkflowReply.Outcome.UNAUTHORISED, "the key is unknown"));
    }
    return Optional.empty();
  }

  private CompletableFuture<Result<WorkflowReply>> replyToRetriedSubmission(
      ByteString callId, WorkflowReply refusal) {
    return loop.submit(
        dispatcher ->
            Result.success(
                dispatcher.hasSubmissionOf(callId)
                    ? ok().setReason("stored by an earlier attempt").build()
                    : refusal));
  }

  private CompletableFuture<Result<WorkflowReply>> serve(
      WorkflowCall call, ByteString callId, Queue queue, String team) {
    String id = call.getPath().substring(queue.getPathPrefix().length());
    switch (call.getKindCase()) {
      case SUBMIT -> {
        return submit(
            SubmitWorkflow.newBuilder()
                .setWorkflowId(id)
                .setTeam(team)
                .setQueue(queue)
                .setSpec(call.getSubmit())
                .setCallId(callId)
                .build());
      }
      case STATUS -> {
        return loop.submit(
            dispatcher ->
                Result.success(
                    id.isEmpty()
                        ? pendingReply(dispatcher, queue)
                        : stateReply(dispatcher, id, queue)));
      }
      case CANCEL -> {
        return cancel(id, queue);
      }
      default -> {
        return completed(reply(WorkflowReply.Outcome.INVALID, "unknown kind of call"));
      }
    }
  }

  private CompletableFuture<Result<WorkflowReply>> submit(SubmitWorkflow submission) {
    Optional<Problem> violation = WorkflowValidator.validate(submission.getSpec());
    if (violation.isPresent()) {
      return completed(reply(WorkflowReply.Outcome.INVALID, violation.get().message()));
    }
    return loop.<Optional<WorkflowReply>>submit(
            dispatcher -> Result.success(findReply(submission, dispatcher)))
        .thenCompose(
            lookup ->
                lookup.fold(
                    problem -> CompletableFuture.completedFuture(Result.failure(problem)),
                    known ->
                        known
                            .map(WorkflowService::completed)
                            .orElseGet(() -> proposeSubmission(submission))));
  }

  // A workflow that is known was accepted, whatever the catalog now says of it.
  private static Optional<WorkflowReply> findReply(
      SubmitWorkflow submission, Dispatcher dispatcher) {
    String id = submission.getWorkflowId();
    if (dispatcher.find(id).isPresent()) {
      return Optional.of(ok().build());
    }
    return dispatcher
        .quotaQueries()
        .findNeverStarting(submission.getTeam(), submission.getSpec())
        .map(
            refusal -> {
              EventLogger.logDecision(
                  DispatchLogEvent.WORKFLOW_REFUSED,
                  id,
                  "reason",
                  refusal.reason(),
                  "team",
                  submission.getTeam(),
                  "queue",
                  submission.getQueue().getName());
              return reply(
                  WorkflowReply.Outcome.INVALID, "the workflow can never run: " + refusal.reason());
            });
  }

  private CompletableFuture<Result<WorkflowReply>> proposeSubmission(SubmitWorkflow submission) {
    return propose(WorkflowEvent.newBuilder().setSubmit(submission).build())
        .thenApply(
            result ->
                result.map(
                    applied -> {
                      logAccepted(submission);
                      return ok().build();
                    }));
  }

  private void logAccepted(SubmitWorkflow submission) {
    WorkflowSpec spec = submission.getSpec();
    EventLogger.logDecision(
        DispatchLogEvent.WORKFLOW_ACCEPTED,
        submission.getWorkflowId(),
        "team",
        submission.getTeam(),
        "queue",
        submission.getQueue().getName(),
        "priority",
        submission.getQueue().getPriority(),
        "catalogVersion",
        state.catalog().view().version(),
        "occurrences",
        spec.getOccurrences(),
        "steps",
        spec.getStepsCount(),
        "tasks",
        spec.getStepsList().stream().mapToInt(WorkflowStep::getTasks).sum());
  }

  private CompletableFuture<Result<WorkflowReply>> cancel(String id, Queue queue) {
    return loop.<Boolean>submit(
            dispatcher ->
                Result.success(dispatcher.find(id).filter(w -> isInQueue(w, queue)).isPresent()))
        .thenCompose(
            lookup ->
                lookup.fold(
                    problem -> CompletableFuture.completedFuture(Result.failure(problem)),
                    exists -> exists ? proposeCancellation(id) : completed(noSuchWorkflow())));
  }

  private CompletableFuture<Result<WorkflowReply>> proposeCancellation(String id) {
    CancelWorkflow cancellation = CancelWorkflow.newBuilder().setWorkflowId(id).build();
    return propose(WorkflowEvent.newBuilder().setCancel(cancellation).build())
        .thenApply(
            result ->
                result.map(
                    applied -> {
                      EventLogger.logDecision(DispatchLogEvent.WORKFLOW_CANCELLED, id);
                      return ok().build();
                    }));
  }

  private CompletableFuture<Result<CommandResult>> propose(WorkflowEvent event) {
    return proposer.propose(
        Command.newBuilder().setWorkflows(WorkflowBatch.newBuilder().addEvents(event)));
  }

  private static WorkflowReply pendingReply(Dispatcher dispatcher, Queue queue) {
    return ok().setCountsPending(true).setPending(dispatcher.countPending(queue)).build();
  }

  private static WorkflowReply stateReply(Dispatcher dispatcher, String id, Queue queue) {
    return dispatcher
        .find(id)
        .filter(workflow -> isInQueue(workflow, queue))
        .map(workflow -> ok().setState(workflow.state()).build())
        .orElseGet(WorkflowService::noSuchWorkflow);
  }

  private static boolean isInQueue(Workflow workflow, Queue queue) {
    return workflow.queue().getHost().equals(queue.getHost())
        && workflow.queue().getPathPrefix().equals(queue.getPathPrefix());
  }

  private static WorkflowReply.Builder ok() {
    return WorkflowReply.newBuilder().setOutcome(WorkflowReply.Outcome.OK);
  }

  private static WorkflowReply noSuchWorkflow() {
    return reply(WorkflowReply.Outcome.NO_WORKFLOW, "no such workflow");
  }

  private static WorkflowReply reply(WorkflowReply.Outcome outcome, String reason) {
    return WorkflowReply.newBuilder().setOutcome(outcome).setReason(reason).build();
  }

  private static CompletableFuture<Result<WorkflowReply>> completed(WorkflowReply reply) {
    return CompletableFuture.completedFuture(Result.success(reply));
  }
}
