package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowStep;

/** Knows which steps wait for room; it is told about each change of a workflow. */
final class WaitingSteps {

  private final CatalogState catalog;
  private final RunTable runs;
  private final long earlyMillis;
  private final Map<String, List<WaitingStep>> waiting = new HashMap<>();
  private final TreeMap<Long, List<Workflow>> dueLater = new TreeMap<>();

  WaitingSteps(CatalogState catalog, RunTable runs, long earlyMillis) {
    this.catalog = catalog;
    this.runs = runs;
    this.earlyMillis = earlyMillis;
  }

  /** Finds out again which steps of a workflow wait. */
  void refresh(Workflow workflow, long wallMillis) {
    if (workflow.isEnded()) {
      waiting.remove(workflow.id());
      return;
    }
    List<WaitingStep> steps = new ArrayList<>();
    for (int k = 0; k < workflow.occurrenceCount(); k++) {
      if (workflow.isOccurrenceCompleted(k)) {
        continue;
      }
      long dueMillis = workflow.dueMillis(k);
      if (workflow.isScheduled() && dueMillis - earlyMillis > wallMillis) {
        dueLater.computeIfAbsent(dueMillis - earlyMillis, due -> new ArrayList<>(1)).add(workflow);
        break;
      }
      addSteps(workflow, workflow.occurrence(k), dueMillis, steps);
    }
    if (steps.isEmpty()) {
      waiting.remove(workflow.id());
    } else {
      waiting.put(workflow.id(), steps);
    }
  }

  private void addSteps(
      Workflow workflow, Occurrence occurrence, long dueMillis, List<WaitingStep> steps) {
    Queue queue = catalog.view().current(workflow.queue());
    for (int index = 0; index < workflow.spec().getStepsCount(); index++) {
      WorkflowStep step = workflow.spec().getSteps(index);
      if (!step.getDependsOnList().stream().allMatch(occurrence::isStepDone)) {
        continue;
      }
      List<TaskGroup> groups = new ArrayList<>();
      for (TaskGroup group : occurrence.groups(index)) {
        if (!group.isDone() && group.active().isEmpty() && !runs.holds(group)) {
          groups.add(group);
        }
      }
      if (!groups.isEmpty()) {
        steps.add(new WaitingStep(workflow, queue, occurrence.number(), index, dueMillis, groups));
      }
    }
  }

  /** Takes up the occurrences that have become due. */
  void advance(long wallMillis) {
    while (!dueLater.isEmpty() && dueLater.firstKey() <= wallMillis) {
      dueLater.pollFirstEntry().getValue().forEach(workflow -> refresh(workflow, wallMillis));
    }
  }

  /** Returns when the next occurrence becomes due, in milliseconds since the epoch. */
  long nextDueMillis() {
    return dueLater.isEmpty() ? Long.MAX_VALUE : dueLater.firstKey();
  }

  List<WaitingStep> steps() {
    List<WaitingStep> all = new ArrayList<>();
    waiting.values().forEach(all::addAll);
    return all;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
