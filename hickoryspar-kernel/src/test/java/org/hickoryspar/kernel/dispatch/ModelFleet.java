package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hickoryspar.kernel.workflow.Workflow;

/** Fake minions on several racks, the workflows that run on them, and their dispatcher. */
final class ModelFleet {

  static final int STEP_MILLIS = 50;

  private final DispatcherHarness harness = new DispatcherHarness();
  private final ModelHistory history = new ModelHistory(harness);
  private final List<String> racks = new ArrayList<>();
  private final List<ModelMinion> minions = new ArrayList<>();
  private final Map<String, ModelWorkflow> workflows = new LinkedHashMap<>();
  private final Map<String, Long> returnMillisByRack = new HashMap<>();
  private final ModelTasks tasks;

  ModelFleet(Random random, int rackCount, int rackSize) {
    for (int rack = 0; rack < rackCount; rack++) {
      racks.add("r" + rack);
      for (int i = 0; i < rackSize; i++) {
        addMinion("r" + rack + '-' + i, "r" + rack);
      }
    }
    tasks = new ModelTasks(random, workflows, minions);
  }

  private void addMinion(String id, String rack) {
    FakeMinion fake = new FakeMinion(id, rack, harness.nowMillis());
    harness.connect(fake);
    minions.add(new ModelMinion(fake, harness.nowMillis()));
  }

  Workflow submit(ModelWorkflow workflow) {
    workflows.put(workflow.id(), workflow);
    history.recordSubmission(workflow.id());
    return harness.submitFor(
        workflow.team(), workflow.id(), workflow.priority(), workflow.stepBuilders());
  }

  /** Takes the data centre of a rack out of service, unless it is out. */
  void takeRackOut(String rack, long untilMillis) {
    if (returnMillisByRack.putIfAbsent(rack, untilMillis) == null) {
      harness.takeDataCentreOut(dataCentreOf(rack));
    }
  }

  /** Returns racks whose time is over to service; returns whether there was one. */
  boolean returnRacksIfDue() {
    List<String> due =
        racks.stream()
            .filter(rack -> returnMillisByRack.getOrDefault(rack, Long.MAX_VALUE) <= nowMillis())
            .toList();
    due.forEach(rack -> harness.returnDataCentre(dataCentreOf(rack)));
    return returnMillisByRack.keySet().removeAll(due);
  }

  private static String dataCentreOf(String rack) {
    return "dc-" + rack;
  }

  boolean isInService(String rack) {
    return !returnMillisByRack.containsKey(rack);
  }

  /** Advances the time by one step; returns the events of the dispatcher. */
  List<String> advance() {
    tasks.advance(harness.nowMillis());
    minions.forEach(minion -> minion.reportIfDue(harness));
    harness.advanceTime(STEP_MILLIS);
    return history.copyEvents();
  }

  // -- queries

  DispatcherHarness harness() {
    return harness;
  }

  ModelHistory history() {
    return history;
  }

  long nowMillis() {
    return harness.nowMillis();
  }

  List<String> racks() {
    return racks;
  }

  List<ModelMinion> minions() {
    return minions;
  }

  ModelWorkflow workflow(String id) {
    ModelWorkflow workflow = workflows.get(id);
    if (workflow == null) {
      throw new IllegalArgumentException("no such workflow: " + id);
    }
    return workflow;
  }

  int accelerators() {
    return minions.size() * (int) FakeMinion.CAPACITY.accelerators();
  }

  /** Returns the state and the running tasks of each minion, and the history of a workflow. */
  String describe(String workflowId) {
    StringBuilder text = new StringBuilder();
    minions.forEach(minion -> describe(minion, text));
    return text.append(history.describe(workflowId)).toString();
  }

  private void describe(ModelMinion minion, StringBuilder text) {
    FakeMinion fake = minion.fake();
    text.append(fake.id()).append(fake.labels());
    text.append(fake.isReachable() ? "" : " unreachable");
    text.append(fake.isDraining() ? " draining" : "");
    text.append(minion.isHealthy(nowMillis()) ? "" : " unhealthy");
    fake.running().forEach(run -> text.append(' ').append(tasks.describe(run, nowMillis())));
    text.append('\n');
  }
}
