package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.runtime.RunTimeDistribution;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowStep;
import org.jspecify.annotations.Nullable;

/** A run of a group that has not ended on all its minions. */
final class ActiveRun {

  private final Workflow workflow;
  private final int occurrence;
  private final int stepIndex;
  private final TaskGroup group;
  private final int number;
  private final String checkpoint;
  private final long createdMillis;
  private final List<Member> members = new ArrayList<>();
  private long inheritedStartMillis = Member.NEVER_MILLIS;
  private @Nullable RunTimeDistribution expectation;

  ActiveRun(
      Workflow workflow,
      int occurrence,
      int stepIndex,
      TaskGroup group,
      int number,
      String checkpoint,
      long createdMillis) {
    this.workflow = workflow;
    this.occurrence = occurrence;
    this.stepIndex = stepIndex;
    this.group = group;
    this.number = number;
    this.checkpoint = checkpoint;
    this.createdMillis = createdMillis;
  }

  Workflow workflow() {
    return workflow;
  }

  int occurrence() {
    return occurrence;
  }

  int stepIndex() {
    return stepIndex;
  }

  WorkflowStep step() {
    return workflow.spec().getSteps(stepIndex);
  }

  /** Returns the team that the run counts for. */
  String team() {
    return workflow.submission().getTeam();
  }

  /** Returns the resources that each member counts for in the quota of its team. */
  Resources declaredDemand() {
    return Resources.of(step().getDemand());
  }

  TaskGroup group() {
    return group;
  }

  int number() {
    return number;
  }

  /**
   * Returns how many earlier runs of the group have ended before it was done, without a failure.
   */
  int interruptions() {
    return number - 1 - group.failures();
  }

  /** Returns the checkpoint that the run resumes from, empty for none. */
  String checkpoint() {
    return checkpoint;
  }

  /** Returns whether the run does the work of its tasks from their beginning to their end. */
  boolean isWhole() {
    return checkpoint.isEmpty() && !step().getLongRunning();
  }

  /** Returns the run time that was expected when this was called for the first time. */
  RunTimeDistribution expectation(Supplier<RunTimeDistribution> prediction) {
    if (expectation == null) {
      expectation = prediction.get();
    }
    return expectation;
  }

  /** Records the monotonic time at which an earlier leader started the run. */
  void inheritStart(long startMillis) {
    inheritedStartMillis = startMillis;
  }

  /** Returns the monotonic time at which the run was placed or recovered. */
  long createdMillis() {
    return createdMillis;
  }

  List<Member> members() {
    return members;
  }

  TaskRun taskRun(int member) {
    return new TaskRun(workflow.id(), occurrence, stepIndex, group.firstTask() + member, number);
  }

  /** Returns whether the members are placed on the given minions, in any life of these. */
  boolean isPlacedOn(List<MinionLife> minions) {
    List<String> minionIds = minions.stream().map(MinionLife::getMinionId).toList();
    return members.stream().map(member -> member.minion().id()).toList().equals(minionIds);
  }

  boolean isStartRecorded() {
    return members.stream().anyMatch(Member::isStartRecorded);
  }

  boolean isStopRequested() {
    return members.stream().anyMatch(Member::isStopRequested);
  }

  void requestStop() {
    members.forEach(Member::requestStop);
  }

  boolean isConfirmed() {
    return members.stream().allMatch(Member::isConfirmed);
  }

  /**
   * Returns for how many milliseconds all members have been running, 0 until all are confirmed. A
   * run of an earlier leader is taken to have been running since its recorded start.
   */
  long runningMillis(long nowMillis) {
    long lastConfirmedMillis = Member.NEVER_MILLIS;
    for (Member member : members) {
      if (!member.isConfirmed()) {
        return 0;
      }
      lastConfirmedMillis = Math.max(lastConfirmedMillis, member.confirmedMillis());
    }
    return nowMillis
        - (inheritedStartMillis == Member.NEVER_MILLIS
            ? lastConfirmedMillis
            : inheritedStartMillis);
  }

  /**
   * Returns the log event that records the end of a member.
   *
   * @param runMillis run time of a whole run in milliseconds, 0 if it is unknown
   */
  WorkflowEvent endEvent(Member member, RunEnd.Cause cause, String newCheckpoint, long runMillis) {
    TaskRun taskRun = member.taskRun();
    return WorkflowEvent.newBuilder()
        .setRunEnd(
            RunEnd.newBuilder()
                .setWorkflowId(taskRun.workflowId())
                .setOccurrence(taskRun.occurrence())
                .setStep(taskRun.step())
                .setTask(taskRun.task())
                .setRun(taskRun.run())
                .setCause(cause)
                .setCheckpoint(newCheckpoint)
                .setRunMillis(runMillis))
        .build();
  }
}
