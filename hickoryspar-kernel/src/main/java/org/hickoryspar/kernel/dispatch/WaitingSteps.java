package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.catalog.CatalogView;
import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * The steps that wait for a placement. Must be refreshed after each change of a workflow and
 * updated after each change of the catalog. All steps refer to the same version of the catalog.
 */
final class WaitingSteps {

  private final CatalogState catalog;
  private final RunTable runs;
  private final long earlyStartMillis;
  private final Map<String, List<WaitingStep>> stepsByWorkflow = new HashMap<>();
  private final TreeMap<Long, List<Workflow>> workflowsByStartMillis = new TreeMap<>();
  private CatalogView view;

  WaitingSteps(CatalogState catalog, RunTable runs, long earlyStartMillis) {
    this.catalog = catalog;
    this.runs = runs;
    this.earlyStartMillis = earlyStartMillis;
    this.view = catalog.view();
  }

  /**
   * Updates the queues of the waiting steps to the current catalog.
   *
   * @return whether the catalog has changed since the last update
   */
  boolean updateCatalog() {
    CatalogView current = catalog.view();
    if (current == view) {
      return false;
    }
    view = current;
    stepsByWorkflow.values().forEach(this::updateQueues);
    return true;
  }

  private void updateQueues(List<WaitingStep> steps) {
    Queue queue = queueOf(steps.get(0).workflow());
    steps.replaceAll(step -> step.withQueue(queue));
  }

  /** Returns the queue of a workflow in the version of the catalog that the steps refer to. */
  Queue queueOf(Workflow workflow) {
    return view.currentQueue(workflow.queue());
  }

  /** Recomputes the waiting steps of a workflow. */
  void refresh(Workflow workflow, long wallMillis) {
    if (workflow.isEnded()) {
      stepsByWorkflow.remove(workflow.id());
      return;
    }
    List<WaitingStep> steps = new ArrayList<>();
    for (int occurrence = 0; occurrence < workflow.occurrenceCount(); occurrence++) {
      if (workflow.isOccurrenceCompleted(occurrence)) {
        continue;
      }
      long dueMillis = workflow.dueMillis(occurrence);
      if (workflow.hasSchedule() && dueMillis - earlyStartMillis > wallMillis) {
        workflowsByStartMillis
            .computeIfAbsent(dueMillis - earlyStartMillis, startMillis -> new ArrayList<>(1))
            .add(workflow);
        break;
      }
      addSteps(workflow, workflow.occurrence(occurrence), dueMillis, steps);
    }
    if (steps.isEmpty()) {
      stepsByWorkflow.remove(workflow.id());
    } else {
      stepsByWorkflow.put(workflow.id(), steps);
    }
  }

  private void addSteps(
      Workflow workflow, Occurrence occurrence, long dueMillis, List<WaitingStep> steps) {
    Queue queue = queueOf(workflow);
    for (int index = 0; index < workflow.spec().getStepsCount(); index++) {
      WorkflowStep step = workflow.spec().getSteps(index);
      if (!step.getDependsOnList().stream().allMatch(occurrence::isStepDone)) {
        continue;
      }
      List<TaskGroup> groups = new ArrayList<>();
      for (TaskGroup group : occurrence.groups(index)) {
        if (!group.isDone() && group.activeRuns().isEmpty() && !runs.hasRun(group)) {
          groups.add(group);
        }
      }
      if (!groups.isEmpty()) {
        steps.add(new WaitingStep(workflow, queue, occurrence.number(), index, dueMillis, groups));
      }
    }
  }

  /** Adds the steps of occurrences that may start by now. */
  void advance(long wallMillis) {
    while (!workflowsByStartMillis.isEmpty() && workflowsByStartMillis.firstKey() <= wallMillis) {
      workflowsByStartMillis
          .pollFirstEntry()
          .getValue()
          .forEach(workflow -> refresh(workflow, wallMillis));
    }
  }

  /**
   * Returns the earliest start of the next occurrence in milliseconds since the epoch, or {@link
   * Long#MAX_VALUE} if there is none.
   */
  long nextStartMillis() {
    return workflowsByStartMillis.isEmpty() ? Long.MAX_VALUE : workflowsByStartMillis.firstKey();
  }

  List<WaitingStep> steps() {
    List<WaitingStep> all = new ArrayList<>();
    stepsByWorkflow.values().forEach(all::addAll);
    return all;
  }

  boolean isEmpty() {
    return stepsByWorkflow.isEmpty();
  }
}
