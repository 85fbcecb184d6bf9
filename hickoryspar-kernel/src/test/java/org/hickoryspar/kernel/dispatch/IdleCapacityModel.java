package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.hickoryspar.kernel.workflow.Workflow;

/**
 * A random schedule of workflows and failures on a random fleet of fake minions. Phases of more
 * load than the fleet carries alternate with phases of light load.
 */
final class IdleCapacityModel {

  static final int STEP_MILLIS = 50;

  private static final int CHECK_INTERVAL_MILLIS = 100;
  private static final int DURATION_MILLIS = 60_000;
  private static final int BURST_MILLIS = 5_000;
  private static final int LIGHT_MILLIS = 15_000;

  /** Load of the phases in hundredths of the capacity. */
  private static final int BURST_LOAD_PERCENT = 150;

  private static final int LIGHT_LOAD_PERCENT = 15;

  /** Approximate work of a random workflow. */
  private static final int WORKFLOW_ACCELERATOR_MILLIS = 17_000;

  private static final int MAX_HISTORY_LINES = 60;
  private static final int HISTORY_MILLIS = 12_000;

  private final Random random;
  private final DispatcherHarness harness = new DispatcherHarness();
  private final List<ModelMinion> minions = new ArrayList<>();
  private final Map<String, ModelWorkflow> workflows = new LinkedHashMap<>();
  private final List<Workflow> openWorkflows = new ArrayList<>();
  private final TreeMap<Long, List<String>> cancellations = new TreeMap<>();
  private final List<HistoryLine> history = new ArrayList<>();
  private final RandomWorkflows randomWorkflows;
  private final ModelTasks tasks;
  private final IdleCapacityChecker checker;
  private final boolean withFailures;
  private int copiedEvents;
  private long lastDisturbanceMillis;
  private long nextSubmissionMillis;

  private record HistoryLine(long millis, String text) {}

  IdleCapacityModel(int seed) {
    random = new Random(seed);
    List<String> racks = addFleet();
    randomWorkflows = new RandomWorkflows(random, racks, fleetAccelerators());
    tasks = new ModelTasks(random, workflows, minions);
    checker = new IdleCapacityChecker(minions, workflows);
    withFailures = random.nextInt(3) > 0;
    lastDisturbanceMillis = harness.nowMillis();
  }

  private List<String> addFleet() {
    List<String> racks = new ArrayList<>();
    int rackCount = 2 + random.nextInt(3);
    int rackSize = 2 + random.nextInt(3);
    for (int rack = 0; rack < rackCount; rack++) {
      racks.add("r" + rack);
      for (int i = 0; i < rackSize; i++) {
        addMinion("r" + rack + '-' + i, "r" + rack);
      }
    }
    return racks;
  }

  private void addMinion(String id, String rack) {
    FakeMinion fake = new FakeMinion(id, rack, harness.nowMillis());
    if (random.nextBoolean()) {
      fake.addLabel(RandomWorkflows.LABEL);
    }
    harness.connect(fake);
    minions.add(new ModelMinion(fake, harness.nowMillis()));
  }

  private int fleetAccelerators() {
    return minions.size() * (int) FakeMinion.CAPACITY.accelerators();
  }

  /** Plays the schedule until the end or the first violation; returns its description. */
  Optional<String> findViolation() {
    long endMillis = harness.nowMillis() + DURATION_MILLIS;
    while (harness.nowMillis() < endMillis) {
      playStep();
      if (harness.nowMillis() % CHECK_INTERVAL_MILLIS == 0) {
        openWorkflows.removeIf(Workflow::isEnded);
        Optional<IdleCapacityChecker.Violation> violation =
            checker.check(openWorkflows, lastDisturbanceMillis, harness.nowMillis());
        if (violation.isPresent()) {
          return violation.map(this::describe);
        }
      }
    }
    return Optional.empty();
  }

  private void playStep() {
    submitIfDue();
    cancelIfDue();
    if (withFailures) {
      failAtRandom();
    }
    endFailures();
    tasks.advance(harness.nowMillis());
    minions.forEach(minion -> minion.reportIfDue(harness));
    harness.advanceTime(STEP_MILLIS);
    copyEvents();
  }

  // -- load

  private boolean isBurst() {
    return harness.nowMillis() % (BURST_MILLIS + LIGHT_MILLIS) < BURST_MILLIS;
  }

  private void submitIfDue() {
    while (harness.nowMillis() >= nextSubmissionMillis) {
      submit(randomWorkflows.next());
      int loadPercent = isBurst() ? BURST_LOAD_PERCENT : LIGHT_LOAD_PERCENT;
      int meanMillis = WORKFLOW_ACCELERATOR_MILLIS * 100 / (loadPercent * fleetAccelerators());
      nextSubmissionMillis = harness.nowMillis() + 1 + random.nextInt(2 * meanMillis);
    }
  }

  private void submit(ModelWorkflow workflow) {
    workflows.put(workflow.id(), workflow);
    openWorkflows.add(harness.submit(workflow.id(), workflow.priority(), workflow.stepBuilders()));
    record("submission of " + workflow.id() + " with priority " + workflow.priority());
    boolean longRunning = workflow.steps().get(0).getLongRunning();
    if (longRunning || random.nextInt(20) == 0) {
      long delayMillis = longRunning ? 10_000 + random.nextInt(30_000) : random.nextInt(5_000);
      cancellations
          .computeIfAbsent(harness.nowMillis() + delayMillis, millis -> new ArrayList<>(1))
          .add(workflow.id());
    }
  }

  private void cancelIfDue() {
    while (!cancellations.isEmpty() && cancellations.firstKey() <= harness.nowMillis()) {
      for (String id : cancellations.pollFirstEntry().getValue()) {
        record("cancellation of " + id);
        harness.cancel(id);
      }
    }
  }

  // -- failures

  private void failAtRandom() {
    if (random.nextInt(isBurst() ? 50 : 1_000) > 0) {
      return;
    }
    ModelMinion minion = minions.get(random.nextInt(minions.size()));
    long untilMillis = harness.nowMillis() + 1_000 + random.nextInt(10_000);
    switch (random.nextInt(7)) {
      case 0 -> {
        disturb("new leader");
        harness.changeLeader();
      }
      case 1 -> {
        disturb("new session");
        harness.startSession();
      }
      case 2, 3 -> failMinion(minion, untilMillis);
      case 4, 5 -> {
        record("all tasks fail on " + minion.fake().id() + " until " + untilMillis);
        minion.failAllTasks(untilMillis);
      }
      default -> restart(minion);
    }
  }

  private void failMinion(ModelMinion minion, long untilMillis) {
    if (!minion.isInService()) {
      return;
    }
    String target = minion.fake().id() + " until " + untilMillis;
    switch (random.nextInt(3)) {
      case 0 -> {
        disturb("crash of " + target);
        minion.crash(untilMillis);
      }
      case 1 -> {
        disturb("cut of " + target);
        minion.cut(untilMillis);
      }
      default -> {
        disturb("drain of " + target);
        minion.drain(untilMillis);
      }
    }
  }

  private void restart(ModelMinion minion) {
    if (minion.isInService()) {
      disturb("restart of " + minion.fake().id());
      minion.crash(harness.nowMillis());
    }
  }

  private void endFailures() {
    for (ModelMinion minion : minions) {
      if (minion.returnIfDue(harness.nowMillis())) {
        disturb("return of " + minion.fake().id());
      }
    }
  }

  private void disturb(String event) {
    record(event);
    lastDisturbanceMillis = harness.nowMillis();
  }

  // -- history

  private void record(String event) {
    history.add(new HistoryLine(harness.nowMillis(), event));
  }

  private void copyEvents() {
    List<String> events = harness.events();
    for (String event : events.subList(copiedEvents, events.size())) {
      record(event);
      if (isIsolationOfFaultyMinion(event)) {
        lastDisturbanceMillis = harness.nowMillis();
      }
    }
    copiedEvents = events.size();
  }

  private boolean isIsolationOfFaultyMinion(String event) {
    return minions.stream()
        .filter(minion -> !minion.isHealthy(harness.nowMillis()))
        .anyMatch(
            minion ->
                event.startsWith(
                    DispatchEventKind.MINION_ISOLATED + " " + minion.fake().id() + ' '));
  }

  private String describe(IdleCapacityChecker.Violation violation) {
    StringBuilder text = new StringBuilder();
    text.append(harness.nowMillis()).append(": ").append(violation.workflow().id());
    text.append(" could start since ").append(violation.sinceMillis());
    text.append(", step ").append(violation.step());
    text.append(", first task ").append(violation.group().firstTask());
    text.append(", tasks ").append(violation.group().size());
    text.append(", failures ").append(violation.group().failures());
    text.append(", active runs ").append(violation.group().activeRuns().size()).append('\n');
    text.append(violation.workflow().spec().getSteps(violation.step()));
    minions.forEach(minion -> describe(minion, text));
    relevantHistory(violation.workflow().id())
        .forEach(line -> text.append(line.millis).append(": ").append(line.text).append('\n'));
    return text.toString();
  }

  private void describe(ModelMinion minion, StringBuilder text) {
    FakeMinion fake = minion.fake();
    text.append(fake.id()).append(fake.labels());
    text.append(fake.isReachable() ? "" : " unreachable");
    text.append(fake.isDraining() ? " draining" : "");
    text.append(minion.isHealthy(harness.nowMillis()) ? "" : " unhealthy");
    fake.running()
        .forEach(run -> text.append(' ').append(tasks.describe(run, harness.nowMillis())));
    text.append('\n');
  }

  private List<HistoryLine> relevantHistory(String workflowId) {
    long sinceMillis = harness.nowMillis() - HISTORY_MILLIS;
    List<HistoryLine> lines =
        history.stream()
            .filter(line -> line.text.contains(workflowId + '.') || isRecentWait(line, sinceMillis))
            .toList();
    return lines.subList(Math.max(0, lines.size() - MAX_HISTORY_LINES), lines.size());
  }

  private static boolean isRecentWait(HistoryLine line, long sinceMillis) {
    return line.millis >= sinceMillis
        && (line.text.startsWith(DispatchEventKind.GROUP_WAITS.name())
            || line.text.startsWith("MINION")
            || Character.isLowerCase(line.text.charAt(0)));
  }
}
