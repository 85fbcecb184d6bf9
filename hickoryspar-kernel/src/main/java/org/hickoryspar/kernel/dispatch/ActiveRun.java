package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowStep;

/** A run of a group that was started and has not ended on all its minions. */
final class ActiveRun {

  private final Workflow workflow;
  private final int occurrence;
  private final int step;
  private final TaskGroup group;
  private final int number;
  private final String checkpoint;
  private final long sinceMillis;
  private final List<Member> members = new ArrayList<>();

  ActiveRun(
      Workflow workflow,
      int occurrence,
      int step,
      TaskGroup group,
      int number,
      String checkpoint,
      long sinceMillis) {
    this.workflow = workflow;
    this.occurrence = occurrence;
    this.step = step;
    this.group = group;
    this.number = number;
    this.checkpoint = checkpoint;
    this.sinceMillis = sinceMillis;
  }

  Workflow workflow() {
    return workflow;
  }

  int occurrence() {
    return occurrence;
  }

  int stepIndex() {
    return step;
  }

  WorkflowStep step() {
    return workflow.spec().getSteps(step);
  }

  TaskGroup group() {
    return group;
  }

  int number() {
    return number;
  }

  /** Returns the checkpoint that the run resumes from, empty for none. */
  String checkpoint() {
    return checkpoint;
  }

  /** Returns when the run was decided. */
  long sinceMillis() {
    return sinceMillis;
  }

  List<Member> members() {
    return members;
  }

  TaskRun taskRun(int member) {
    return new TaskRun(workflow.id(), occurrence, step, group.firstTask() + member, number);
  }

  boolean isStopWanted() {
    return members.stream().anyMatch(Member::isStopWanted);
  }

  void wantStop() {
    members.forEach(Member::wantStop);
  }

  boolean isConfirmed() {
    return members.stream().allMatch(Member::isConfirmed);
  }

  /** Returns how long all members have worked, 0 while one is not known to run. */
  long workedMillis(long nowMillis) {
    long sinceMillis = Member.NEVER_MILLIS;
    for (Member member : members) {
      if (!member.isConfirmed()) {
        return 0;
      }
      sinceMillis = Math.max(sinceMillis, member.confirmedMillis());
    }
    return nowMillis - sinceMillis;
  }

  /** Returns the event that records the end of a member. */
  WorkflowEvent endOf(Member member, RunEnd.Cause cause, String newCheckpoint) {
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
                .setCheckpoint(newCheckpoint))
        .build();
  }
}
