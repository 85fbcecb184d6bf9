package org.hickoryspar.kernel.workflow;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowRecord;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowState;
import org.hickoryspar.protocol.WorkflowStep;

/** A job of several steps and what has become of it. */
public final class Workflow {

  private final SubmitWorkflow submission;
  private final long acceptedMillis;
  private final Map<Integer, Occurrence> openOccurrences = new TreeMap<>();
  private final BitSet completedOccurrences = new BitSet();
  private boolean cancelled;
  private boolean started;
  private boolean failed;
  private long endedMillis;

  Workflow(SubmitWorkflow submission, long acceptedMillis) {
    this.submission = submission;
    this.acceptedMillis = acceptedMillis;
  }

  static Workflow restore(WorkflowRecord record) {
    Workflow workflow = new Workflow(record.getSubmission(), record.getAcceptedMillis());
    workflow.cancelled = record.getCancelled();
    workflow.started = record.getStarted();
    workflow.endedMillis = record.getEndedMillis();
    record.getCompletedOccurrencesList().forEach(workflow.completedOccurrences::set);
    record.getOccurrencesList().forEach(o -> workflow.occurrence(o.getOccurrence()).restore(o));
    workflow.failed = workflow.hasExhaustedAttempts();
    return workflow;
  }

  WorkflowRecord toRecord() {
    WorkflowRecord.Builder record =
        WorkflowRecord.newBuilder()
            .setSubmission(submission)
            .setAcceptedMillis(acceptedMillis)
            .setEndedMillis(endedMillis)
            .setCancelled(cancelled)
            .setStarted(started);
    openOccurrences.values().forEach(occurrence -> record.addOccurrences(occurrence.toRecord()));
    completedOccurrences.stream().forEach(record::addCompletedOccurrences);
    return record.build();
  }

  void cancel(long nowMillis) {
    if (!isEnded()) {
      cancelled = true;
      endedMillis = nowMillis;
    }
  }

  Optional<Problem> start(RunStart start) {
    if (isEnded()) {
      return Optional.of(Problem.of("run-refused", "the workflow has ended"));
    }
    Optional<TaskGroup> group =
        findGroup(start.getOccurrence(), start.getStep(), start.getFirstTask());
    if (group.isEmpty()) {
      return Optional.of(Problem.of("run-refused", "no such tasks"));
    }
    Optional<Problem> problem = group.get().start(start, spec().getSteps(start.getStep()));
    started |= problem.isEmpty();
    return problem;
  }

  void end(RunEnd end, long nowMillis) {
    Optional<TaskGroup> group = findGroup(end.getOccurrence(), end.getStep(), end.getTask());
    if (group.isEmpty()) {
      return;
    }
    WorkflowStep step = spec().getSteps(end.getStep());
    group.get().end(end, step);
    failed |= !step.getLongRunning() && group.get().failures() >= maxAttempts();
    Occurrence occurrence = occurrence(end.getOccurrence());
    if (occurrence.isDone() && occurrence.isIdle()) {
      openOccurrences.remove(end.getOccurrence());
      completedOccurrences.set(end.getOccurrence());
    }
    if (endedMillis == 0 && isEnded()) {
      endedMillis = nowMillis;
    }
  }

  /**
   * Returns the workflow as it was submitted.
   *
   * @return identifier, team, queue and specification
   */
  public SubmitWorkflow submission() {
    return submission;
  }

  /**
   * Returns the identifier.
   *
   * @return the identifier that the caller chose
   */
  public String id() {
    return submission.getWorkflowId();
  }

  /**
   * Returns the specification.
   *
   * @return the specification as submitted
   */
  public WorkflowSpec spec() {
    return submission.getSpec();
  }

  /**
   * Returns the queue as it was when the workflow was accepted.
   *
   * @return the queue
   */
  public Queue queue() {
    return submission.getQueue();
  }

  /**
   * Returns when the workflow was accepted.
   *
   * @return replicated time in milliseconds since the epoch
   */
  public long acceptedMillis() {
    return acceptedMillis;
  }

  /**
   * Returns when the workflow ended.
   *
   * @return replicated time in milliseconds since the epoch, 0 while it has not ended
   */
  public long endedMillis() {
    return endedMillis;
  }

  /**
   * Returns how many runs of a group may fail.
   *
   * @return at least 1
   */
  public int maxAttempts() {
    return Math.max(1, queue().getMaxAttempts());
  }

  /**
   * Returns the number of occurrences.
   *
   * @return at least 1
   */
  public int occurrenceCount() {
    return Math.max(1, spec().getOccurrences());
  }

  /**
   * Returns whether the workflow runs at given times.
   *
   * @return false for a workflow that runs once, at once
   */
  public boolean hasSchedule() {
    return spec().getOccurrences() > 0;
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence number of the occurrence
   * @return milliseconds since the epoch; the time of acceptance for a workflow that runs at once
   */
  public long dueMillis(int occurrence) {
    return hasSchedule()
        ? spec().getFirstDueMillis() + occurrence * spec().getIntervalMillis()
        : acceptedMillis;
  }

  /**
   * Returns whether an occurrence is complete.
   *
   * @param occurrence number of the occurrence
   * @return true once all its tasks are done and nothing of it runs
   */
  public boolean isOccurrenceCompleted(int occurrence) {
    return completedOccurrences.get(occurrence);
  }

  /**
   * Returns an occurrence that is not complete; it is created when it is asked for.
   *
   * @param number number of the occurrence
   * @return the occurrence
   */
  public Occurrence occurrence(int number) {
    return openOccurrences.computeIfAbsent(number, n -> new Occurrence(n, spec()));
  }

  /**
   * Returns the occurrences that were asked for and are not complete.
   *
   * @return the occurrences in the order of their numbers
   */
  public Collection<Occurrence> openOccurrences() {
    return Collections.unmodifiableCollection(openOccurrences.values());
  }

  /**
   * Returns whether the workflow was cancelled.
   *
   * @return true once a cancel was recorded
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether any task was started.
   *
   * @return true once a start was recorded
   */
  public boolean isStarted() {
    return started;
  }

  /**
   * Returns whether nothing of the workflow may be started any more.
   *
   * @return true once it is completed, failed or cancelled
   */
  public boolean isEnded() {
    return cancelled || failed || isCompleted();
  }

  /**
   * Returns what callers are told.
   *
   * @return the state
   */
  public WorkflowState state() {
    if (cancelled) {
      return WorkflowState.WORKFLOW_CANCELLED;
    }
    if (failed) {
      return WorkflowState.WORKFLOW_FAILED;
    }
    if (isCompleted()) {
      return WorkflowState.WORKFLOW_COMPLETED;
    }
    return started ? WorkflowState.WORKFLOW_RUNNING : WorkflowState.WORKFLOW_QUEUED;
  }

  /**
   * Finds the group that a task belongs to, in an occurrence that is not complete.
   *
   * @param occurrence number of the occurrence
   * @param step index of the step
   * @param task index of the task within the step
   * @return the group, or empty when there is no such task
   */
  public Optional<TaskGroup> findGroup(int occurrence, int step, int task) {
    boolean exists =
        occurrence >= 0
            && occurrence < occurrenceCount()
            && !completedOccurrences.get(occurrence)
            && step >= 0
            && step < spec().getStepsCount()
            && task >= 0
            && task < spec().getSteps(step).getTasks();
    if (!exists) {
      return Optional.empty();
    }
    List<TaskGroup> groups = occurrence(occurrence).groups(step);
    return Optional.of(groups.get(spec().getSteps(step).getGang() ? 0 : task));
  }

  /**
   * Finds the groups of all open occurrences.
   *
   * @return the groups
   */
  public List<TaskGroup> openGroups() {
    List<TaskGroup> groups = new ArrayList<>();
    for (Occurrence occurrence : openOccurrences.values()) {
      for (int step = 0; step < spec().getStepsCount(); step++) {
        groups.addAll(occurrence.groups(step));
      }
    }
    return groups;
  }

  private boolean isCompleted() {
    return completedOccurrences.cardinality() == occurrenceCount()
        || (completedOccurrences.cardinality() + openOccurrences.size() == occurrenceCount()
            && openOccurrences.values().stream().allMatch(Occurrence::isDone));
  }

  private boolean hasExhaustedAttempts() {
    return openGroups().stream().anyMatch(group -> group.failures() >= maxAttempts());
  }

  @Override
  public String toString() {
    return requireNonNull(id(), "id is null") + " " + state();
  }
}
