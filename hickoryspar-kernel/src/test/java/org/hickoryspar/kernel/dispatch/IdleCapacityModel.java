package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.hickoryspar.kernel.workflow.Workflow;

/**
 * A random schedule of workflows and failures on a random fleet of fake minions. Phases of more
 * load than the fleet carries alternate with phases of light load.
 */
final class IdleCapacityModel {

  private static final int CHECK_INTERVAL_MILLIS = 100;
  private static final int DURATION_MILLIS = 40_000;
  private static final int BURST_MILLIS = 5_000;
  private static final int LIGHT_MILLIS = 15_000;

  /** Load of the phases in hundredths of the capacity. */
  private static final int BURST_LOAD_PERCENT = 150;

  private static final int MIN_LIGHT_LOAD_PERCENT = 5;
  private static final int MAX_LIGHT_LOAD_PERCENT = 40;

  /** Approximate work of a random workflow. */
  private static final int WORKFLOW_ACCELERATOR_MILLIS = 17_000;

  private final Random random;
  private final ModelFleet fleet;
  private final List<Workflow> openWorkflows = new ArrayList<>();
  private final TreeMap<Long, List<String>> cancellations = new TreeMap<>();
  private final RandomWorkflows randomWorkflows;
  private final IdleCapacityChecker checker;
  private final int lightLoadPercent;
  private final boolean withFailures;
  private long lastDisturbanceMillis;
  private long nextSubmissionMillis;

  IdleCapacityModel(int seed) {
    random = new Random(seed);
    fleet = new ModelFleet(random, 2 + random.nextInt(3), 2 + random.nextInt(3));
    int minionsPerLabel = 2 + random.nextInt(3);
    fleet.minions().stream()
        .filter(minion -> random.nextInt(minionsPerLabel) == 0)
        .forEach(minion -> minion.fake().addLabel(RandomWorkflows.LABEL));
    randomWorkflows = new RandomWorkflows(random, fleet.racks(), fleet.accelerators());
    checker = new IdleCapacityChecker(fleet);
    lightLoadPercent =
        MIN_LIGHT_LOAD_PERCENT + random.nextInt(MAX_LIGHT_LOAD_PERCENT - MIN_LIGHT_LOAD_PERCENT);
    withFailures = random.nextInt(3) > 0;
    lastDisturbanceMillis = fleet.nowMillis();
  }

  /** Plays the schedule until the end or the first violation; returns its description. */
  Optional<String> findViolation() {
    long endMillis = fleet.nowMillis() + DURATION_MILLIS;
    while (fleet.nowMillis() < endMillis) {
      playStep();
      if (fleet.nowMillis() % CHECK_INTERVAL_MILLIS == 0) {
        openWorkflows.removeIf(Workflow::isEnded);
        Optional<IdleCapacityChecker.Violation> violation =
            checker.check(openWorkflows, lastDisturbanceMillis, fleet.nowMillis());
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
    fleet.advance().forEach(this::recordIsolation);
  }

  private void recordIsolation(String event) {
    boolean ofFaultyMinion =
        fleet.minions().stream()
            .filter(minion -> !minion.isHealthy(fleet.nowMillis()))
            .anyMatch(minion -> event.startsWith("MINION_ISOLATED " + minion.fake().id() + ' '));
    if (ofFaultyMinion) {
      lastDisturbanceMillis = fleet.nowMillis();
    }
  }

  // -- load

  private boolean isBurst() {
    return fleet.nowMillis() % (BURST_MILLIS + LIGHT_MILLIS) < BURST_MILLIS;
  }

  private void submitIfDue() {
    while (fleet.nowMillis() >= nextSubmissionMillis) {
      submit(randomWorkflows.next());
      int loadPercent = isBurst() ? BURST_LOAD_PERCENT : lightLoadPercent;
      int meanMillis = WORKFLOW_ACCELERATOR_MILLIS * 100 / (loadPercent * fleet.accelerators());
      nextSubmissionMillis = fleet.nowMillis() + 1 + random.nextInt(2 * meanMillis);
    }
  }

  private void submit(ModelWorkflow workflow) {
    openWorkflows.add(fleet.submit(workflow));
    boolean longRunning = workflow.steps().get(0).getLongRunning();
    if (longRunning || random.nextInt(20) == 0) {
      long delayMillis = longRunning ? 10_000 + random.nextInt(30_000) : random.nextInt(5_000);
      cancellations
          .computeIfAbsent(fleet.nowMillis() + delayMillis, millis -> new ArrayList<>(1))
          .add(workflow.id());
    }
  }

  private void cancelIfDue() {
    while (!cancellations.isEmpty() && cancellations.firstKey() <= fleet.nowMillis()) {
      for (String id : cancellations.pollFirstEntry().getValue()) {
        fleet.history().record("cancellation of " + id);
        fleet.harness().cancel(id);
      }
    }
  }

  // -- failures

  private void failAtRandom() {
    if (random.nextInt(isBurst() ? 50 : 1_000) > 0) {
      return;
    }
    ModelMinion minion = fleet.minions().get(random.nextInt(fleet.minions().size()));
    long untilMillis = fleet.nowMillis() + 1_000 + random.nextInt(10_000);
    switch (random.nextInt(8)) {
      case 0 -> {
        disturb("new leader");
        fleet.harness().changeLeader();
      }
      case 1 -> {
        disturb("new session");
        fleet.harness().startSession();
      }
      case 2, 3 -> failMinion(minion, untilMillis);
      case 4, 5 -> {
        fleet.history().record("all tasks fail on " + minion.fake().id() + " until " + untilMillis);
        minion.failAllTasks(untilMillis);
      }
      case 6 -> restart(minion);
      default -> takeRackOut(minion.fake().rack(), untilMillis);
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
      minion.crash(fleet.nowMillis());
    }
  }

  private void takeRackOut(String rack, long untilMillis) {
    disturb("data centre of " + rack + " out until " + untilMillis);
    fleet.takeRackOut(rack, untilMillis);
  }

  private void endFailures() {
    if (fleet.returnRacksIfDue()) {
      disturb("return of a data centre");
    }
    for (ModelMinion minion : fleet.minions()) {
      if (minion.returnIfDue(fleet.nowMillis())) {
        disturb("return of " + minion.fake().id());
      }
    }
  }

  private void disturb(String event) {
    fleet.history().record(event);
    lastDisturbanceMillis = fleet.nowMillis();
  }

  private String describe(IdleCapacityChecker.Violation violation) {
    StringBuilder text = new StringBuilder();
    text.append(fleet.nowMillis()).append(": ").append(violation.workflow().id());
    text.append(" could start since ").append(violation.sinceMillis());
    text.append(", step ").append(violation.step());
    text.append(", first task ").append(violation.group().firstTask());
    text.append(", tasks ").append(violation.group().size());
    text.append(", failures ").append(violation.group().failures());
    text.append(", active runs ").append(violation.group().activeRuns().size()).append('\n');
    text.append(violation.workflow().spec().getSteps(violation.step()));
    return text.append(fleet.describe(violation.workflow().id())).toString();
  }
}
