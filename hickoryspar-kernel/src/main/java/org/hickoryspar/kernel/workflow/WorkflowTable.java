package org.hickoryspar.kernel.workflow;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.kernel.runtime.RunProfile;
import org.hickoryspar.kernel.runtime.RunTimeTable;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowRecord;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * The replicated table of workflows. Events are applied in the order of the replicated log, so that
 * all replicas of the table are equal. Used by one thread at a time.
 *
 * <pre>{@code
 * List<Optional<Problem>> results = table.apply(batch, nowMillis);
 * table.find(workflowId).map(Workflow::state);
 * }</pre>
 */
public final class WorkflowTable {

  private final Map<String, Workflow> workflows = new LinkedHashMap<>();
  private final RunTimeTable runTimes = new RunTimeTable();

  /** Creates a table without workflows, the state before the first event. */
  public WorkflowTable() {}

  /**
   * Applies a batch of events in order. A rejected event changes nothing and does not affect the
   * others.
   *
   * @param batch the events
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return for each event the reason of its rejection, or empty if it was applied
   */
  public List<Optional<Problem>> apply(WorkflowBatch batch, long nowMillis) {
    requireNonNull(batch, "batch is null");
    List<Optional<Problem>> results = new ArrayList<>(batch.getEventsCount());
    for (WorkflowEvent event : batch.getEventsList()) {
      results.add(apply(event, nowMillis));
    }
    return results;
  }

  private Optional<Problem> apply(WorkflowEvent event, long nowMillis) {
    switch (event.getKindCase()) {
      case SUBMIT -> {
        return submit(event.getSubmit(), nowMillis);
      }
      case CANCEL -> {
        return update(event.getCancel().getWorkflowId(), workflow -> workflow.cancel(nowMillis));
      }
      case RUN_START -> {
        Workflow workflow = workflows.get(event.getRunStart().getWorkflowId());
        return workflow == null
            ? unknownWorkflow()
            : workflow.start(event.getRunStart(), nowMillis);
      }
      case RUN_END -> {
        return update(
            event.getRunEnd().getWorkflowId(),
            workflow -> end(workflow, event.getRunEnd(), nowMillis));
      }
      case FORGET -> {
        return workflows.remove(event.getForget().getWorkflowId()) == null
            ? unknownWorkflow()
            : Optional.empty();
      }
      default -> {
        return Optional.of(
            Problem.of("unknown-event", "event of a newer version: " + event.getKindCase()));
      }
    }
  }

  // Idempotent: a repeated submission leaves the existing workflow unchanged.
  private Optional<Problem> submit(SubmitWorkflow submission, long nowMillis) {
    workflows.computeIfAbsent(
        submission.getWorkflowId(), id -> new Workflow(submission, nowMillis));
    return Optional.empty();
  }

  // The first end of a run that completes its tasks tells how long it took.
  private void end(Workflow workflow, RunEnd end, long nowMillis) {
    boolean groupDone = workflow.end(end, nowMillis);
    if (groupDone && end.getRunMillis() > 0) {
      WorkflowStep step = workflow.spec().getSteps(end.getStep());
      runTimes.learn(
          workflow.runProfile(end.getStep()),
          RunProfile.declaredMillis(step),
          step.getTasks(),
          end.getRunMillis());
    }
  }

  private Optional<Problem> update(
      String workflowId, java.util.function.Consumer<Workflow> update) {
    Workflow workflow = workflows.get(workflowId);
    if (workflow == null) {
      return unknownWorkflow();
    }
    update.accept(workflow);
    return Optional.empty();
  }

  /**
   * Finds a workflow by its identifier.
   *
   * @param workflowId identifier of the workflow
   * @return the workflow, or empty if it does not exist
   */
  public Optional<Workflow> find(String workflowId) {
    return Optional.ofNullable(workflows.get(requireNonNull(workflowId, "workflowId is null")));
  }

  /**
   * Returns all workflows.
   *
   * @return an unmodifiable view in the order of acceptance
   */
  public Collection<Workflow> all() {
    return Collections.unmodifiableCollection(workflows.values());
  }

  /**
   * Returns what the finished runs tell of run times.
   *
   * @return the live table, which learns from each end that is applied
   */
  public RunTimeTable runTimes() {
    return runTimes;
  }

  /**
   * Returns a snapshot of the workflows.
   *
   * @return one record per workflow, in the order of acceptance
   */
  public List<WorkflowRecord> snapshot() {
    return workflows.values().stream().map(Workflow::toRecord).toList();
  }

  /**
   * Replaces the workflows with a snapshot. What is known of run times stays; {@link #runTimes} has
   * a snapshot of its own.
   *
   * @param records the records returned by {@link #snapshot}
   */
  public void restore(List<WorkflowRecord> records) {
    workflows.clear();
    for (WorkflowRecord record : records) {
      Workflow workflow = Workflow.restore(record);
      workflows.put(workflow.id(), workflow);
    }
  }

  private static Optional<Problem> unknownWorkflow() {
    return Optional.of(Problem.of("no-workflow", "no such workflow"));
  }
}
