package org.hickoryspar.kernel.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.WorkflowEvent;
import org.jspecify.annotations.Nullable;

/** Updates the state of the dispatcher after events that the replicated log has applied. */
final class AppliedEventHandler {

  private final WorkflowTable table;
  private final RunTable runs;
  private final RunRecovery recovery;
  private final WaitingSteps waitingSteps;
  private final MinionFailureTracker failureTracker;
  private final TeamDemand teamDemand;
  private final DispatchListener listener;
  private final Set<String> reportedEnds = new HashSet<>();

  AppliedEventHandler(
      WorkflowTable table,
      RunTable runs,
      RunRecovery recovery,
      WaitingSteps waitingSteps,
      MinionFailureTracker failureTracker,
      TeamDemand teamDemand,
      DispatchListener listener) {
    this.table = table;
    this.runs = runs;
    this.recovery = recovery;
    this.waitingSteps = waitingSteps;
    this.failureTracker = failureTracker;
    this.teamDemand = teamDemand;
    this.listener = listener;
  }

  /** Handles an event that has been applied to the workflow table. */
  void handle(WorkflowEvent event, Optional<Problem> problem, long nowMillis, long wallMillis) {
    Workflow workflow = table.find(workflowIdOf(event)).orElse(null);
    if (workflow == null) {
      reportedEnds.remove(workflowIdOf(event));
      return;
    }
    if (event.hasRunStart()) {
      handleStart(workflow, event.getRunStart(), problem, nowMillis, wallMillis);
    } else if (event.hasRunEnd()) {
      removeEndedRuns(workflow);
    }
    boolean ended = workflow.isEnded() && problem.isEmpty();
    stopUnneededRuns(workflow);
    if (ended && reportedEnds.add(workflow.id())) {
      reportWorkflowEnd(workflow, wallMillis);
      failureTracker.remove(workflow);
    }
    teamDemand.update(workflow);
    waitingSteps.refresh(workflow, wallMillis);
  }

  private static String workflowIdOf(WorkflowEvent event) {
    return switch (event.getKindCase()) {
      case SUBMIT -> event.getSubmit().getWorkflowId();
      case CANCEL -> event.getCancel().getWorkflowId();
      case RUN_START -> event.getRunStart().getWorkflowId();
      case RUN_END -> event.getRunEnd().getWorkflowId();
      case FORGET -> event.getForget().getWorkflowId();
      default -> "";
    };
  }

  private void handleStart(
      Workflow workflow,
      RunStart start,
      Optional<Problem> problem,
      long nowMillis,
      long wallMillis) {
    ActiveRun run = runs.find(start);
    if (problem.isPresent()) {
      removeRefusedRun(run, problem.get());
    } else if (run != null && run.isPlacedOn(start.getMinionsList())) {
      run.members().forEach(Member::markStartRecorded);
    } else {
      // An earlier dispatcher of this term proposed the start before it was replaced. The start of
      // the same run that this dispatcher has proposed will be refused.
      if (run != null) {
        runs.remove(run);
      }
      recovery.recover(workflow, start, nowMillis, wallMillis);
    }
  }

  // A refused start may have the number of a run that an earlier dispatcher started.
  private void removeRefusedRun(@Nullable ActiveRun run, Problem problem) {
    if (run == null || run.isStartRecorded()) {
      return;
    }
    listener.onEvent(
        DispatchEventKind.RUN_REFUSED, run.taskRun(0).toString(), "reason", problem.message());
    runs.remove(run);
  }

  private void removeEndedRuns(Workflow workflow) {
    for (ActiveRun run : runs.runsOf(workflow)) {
      if (run.members().stream().allMatch(Member::isEnded)
          && run.group().findRun(run.number()).isEmpty()) {
        runs.remove(run);
        reportRunEnd(run);
      }
    }
  }

  private void reportRunEnd(ActiveRun run) {
    if (run.members().size() > 1) {
      listener.onEvent(
          DispatchEventKind.RUN_OVER,
          run.taskRun(0).toString(),
          "members",
          run.members().size(),
          "done",
          run.group().isDone(),
          "failures",
          run.group().failures());
    }
  }

  private void stopUnneededRuns(Workflow workflow) {
    for (ActiveRun run : runs.runsOf(workflow)) {
      if ((workflow.isEnded() || run.group().isDone()) && !run.isStopRequested()) {
        run.requestStop();
        listener.onEvent(
            DispatchEventKind.RUN_STOPPING,
            run.taskRun(0).toString(),
            "because",
            workflow.isEnded() ? workflow.state() : "the tasks are done");
      }
    }
  }

  private void reportWorkflowEnd(Workflow workflow, long wallMillis) {
    long failures = workflow.openGroups().stream().mapToLong(group -> group.failures()).sum();
    listener.onEvent(
        DispatchEventKind.WORKFLOW_ENDED,
        workflow.id(),
        "state",
        workflow.state(),
        "queue",
        workflow.queue().getName(),
        "team",
        workflow.submission().getTeam(),
        "tookMillis",
        wallMillis - workflow.acceptedMillis(),
        "failedRuns",
        failures);
    listener.onWorkflowEnded(
        workflow.queue().getPriority(), wallMillis - workflow.acceptedMillis());
  }
}
