package org.hickoryspar.kernel.workflow;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.protocol.OccurrenceRecord;
import org.hickoryspar.protocol.StepRecord;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;

/** One execution of all steps of a workflow; a workflow with a schedule has several. */
public final class Occurrence {

  private final int number;
  private final List<List<TaskGroup>> groupsByStep = new ArrayList<>();

  Occurrence(int number, WorkflowSpec spec) {
    this.number = number;
    for (WorkflowStep step : spec.getStepsList()) {
      List<TaskGroup> groups = new ArrayList<>();
      int size = step.getGang() ? step.getTasks() : 1;
      for (int task = 0; task < step.getTasks(); task += size) {
        groups.add(new TaskGroup(task, size));
      }
      groupsByStep.add(List.copyOf(groups));
    }
  }

  void restore(OccurrenceRecord record) {
    for (int step = 0; step < groupsByStep.size(); step++) {
      StepRecord stepRecord = record.getSteps(step);
      List<TaskGroup> groups = groupsByStep.get(step);
      for (int i = 0; i < groups.size(); i++) {
        groups.get(i).restore(stepRecord.getGroups(i));
      }
    }
  }

  OccurrenceRecord toRecord() {
    OccurrenceRecord.Builder record = OccurrenceRecord.newBuilder().setOccurrence(number);
    for (List<TaskGroup> groups : groupsByStep) {
      StepRecord.Builder stepRecord = record.addStepsBuilder();
      groups.forEach(group -> stepRecord.addGroups(group.toRecord()));
    }
    return record.build();
  }

  /**
   * Returns the number of the occurrence.
   *
   * @return the number, from 0
   */
  public int number() {
    return number;
  }

  /**
   * Returns the task groups of a step.
   *
   * @param step index of the step
   * @return an immutable list in the order of the tasks
   */
  public List<TaskGroup> groups(int step) {
    return groupsByStep.get(step);
  }

  /**
   * Returns whether all tasks of a step are done.
   *
   * @param step index of the step
   * @return true once every group of the step is done, also while runs are active
   */
  public boolean isStepDone(int step) {
    return groupsByStep.get(step).stream().allMatch(TaskGroup::isDone);
  }

  /**
   * Returns whether all tasks are done.
   *
   * @return true once every step is done, also while runs are active
   */
  public boolean isDone() {
    for (int step = 0; step < groupsByStep.size(); step++) {
      if (!isStepDone(step)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether no group has an active run. */
  boolean isIdle() {
    return groupsByStep.stream()
        .allMatch(groups -> groups.stream().allMatch(group -> group.activeRuns().isEmpty()));
  }
}
