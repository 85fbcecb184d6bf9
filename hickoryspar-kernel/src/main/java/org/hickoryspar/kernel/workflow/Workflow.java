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
import org.hickoryspar.kernel.runtime.RunProfile;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowRecord;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowState;
import org.hickoryspar.protocol.WorkflowStep;

/** A submitted workflow with the state of its occurrences. */
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

  Optional<Problem> start(RunStart start, long nowMillis) {
    if (isEnded()) {
      return Optional.of(Problem.of("run-refused", "the workflow has ended"));
    }
    Optional<TaskGroup> group =
        findGroup(start.getOccurrence(), start.getStep(), start.getFirstTask());
    if (group.isEmpty()) {
      return Optional.of(Problem.of("run-refused", "no such task group in an open occurrence"));
    }
    Optional<Problem> problem =
        group.get().start(start, spec().getSteps(start.getStep()), nowMillis);
    started |= problem.isEmpty();
    return problem;
  }

  /** Records the end of a task; returns whether its group is done by it. */
  boolean end(RunEnd end, long nowMillis) {
    Optional<TaskGroup> group = findGroup(end.getOccurrence(), end.getStep(), end.getTask());
    if (group.isEmpty()) {
      return false;
    }
    WorkflowStep step = spec().getSteps(end.getStep());
    boolean groupDone = group.get().end(end, step);
    failed |= !step.getLongRunning() && group.get().failures() >= maxAttempts();
    Occurrence occurrence = occurrence(end.getOccurrence());
    if (occurrence.isDone() && occurrence.isIdle()) {
      openOccurrences.remove(end.getOccurrence());
      completedOccurrences.set(end.getOccurrence());
    }
    if (endedMillis == 0 && isEnded()) {
      endedMillis = nowMillis;
    }
    return groupDone;
  }

  /**
   * Returns the submission.
   *
   * @return identifier, team, queue and specification as submitted
   */
  public SubmitWorkflow submission() {
    return submission;
  }

  /**
   * Returns the identifier of the workflow.
   *
   * @return the identifier chosen by the caller
   */
  public String id() {
    return submission.getWorkflowId();
  }

  /**
   * Returns the specification of the steps and the schedule.
   *
   * @return the specification as submitted
   */
  public WorkflowSpec spec() {
    return submission.getSpec();
  }

  /**
   * Returns the queue at the time when the workflow was accepted. The catalog may have changed
   * since then.
   *
   * @return the queue
   */
  public Queue queue() {
    return submission.getQueue();
  }

  /**
   * Returns what the runs of a step have in common with other runs.
   *
   * @param step index of the step
   * @return the profile, by the queue at the time when the workflow was accepted
   */
  public RunProfile runProfile(int step) {
    return RunProfile.of(queue().getName(), submission.getTeam(), spec().getSteps(step));
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
   * Returns the number of failed runs of one task group after which the workflow fails.
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
   * Returns whether the workflow has a schedule.
   *
   * @return false for a workflow that runs once, without delay
   */
  public boolean hasSchedule() {
    return spec().getOccurrences() > 0;
  }

  /**
   * Returns when an occurrence is due.
   *
   * @param occurrence number of the occurrence
   * @return milliseconds since the epoch; the time of acceptance for a workflow without schedule
   */
  public long dueMillis(int occurrence) {
    return hasSchedule()
        ? spec().getFirstDueMillis() + occurrence * spec().getIntervalMillis()
        : acceptedMillis;
  }

  /**
   * Returns whether an occurrence is completed.
   *
   * @param occurrence number of the occurrence
   * @return true once all its tasks are done and it has no active runs
   */
  public boolean isOccurrenceCompleted(int occurrence) {
    return completedOccurrences.get(occurrence);
  }

  /**
   * Returns an occurrence that is not completed; opens it on the first call.
   *
   * @param number number of the occurrence, which must not be completed
   * @return the open occurrence
   */
  public Occurrence occurrence(int number) {
    return openOccurrences.computeIfAbsent(number, n -> new Occurrence(n, spec()));
  }

  /**
   * Returns the occurrences that were opened and are not completed.
   *
   * @return an unmodifiable view in the order of their numbers
   */
  public Collection<Occurrence> openOccurrences() {
    return Collections.unmodifiableCollection(openOccurrences.values());
  }

  /**
   * Returns whether the workflow was cancelled.
   *
   * @return true once the cancellation is recorded
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether any task was started.
   *
   * @return true once the start of a run is recorded
   */
  public boolean isStarted() {
    return started;
  }

  /**
   * Returns whether the workflow is in a final state and starts no more runs.
   *
   * @return true once it is completed, failed or cancelled, also while runs are active
   */
  public boolean isEnded() {
    return cancelled || failed || isCompleted();
  }

  /**
   * Returns the state that is reported to callers.
   *
   * @return cancelled, failed or completed once the workflow has ended; until then running if a
   *     task was started, otherwise queued
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
   * Finds the group of a task in an occurrence that is not completed; opens the occurrence.
   *
   * @param occurrence number of the occurrence
   * @param step index of the step
   * @param task index of the task within the step
   * @return the group, or empty if there is no such task or the occurrence is completed
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
   * Returns the task groups of all open occurrences.
   *
   * @return a new list, ordered by occurrence, step and task
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
