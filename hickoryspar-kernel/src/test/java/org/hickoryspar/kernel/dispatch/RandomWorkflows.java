package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hickoryspar.kernel.dispatch.ModelWorkflow.Behaviour;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;

/** Creates random workflows for a fleet of fake minions. */
final class RandomWorkflows {

  /** A label that some minions of the fleet have. */
  static final String LABEL = "special";

  /** A team with a guarantee and one without. */
  private static final List<String> TEAMS = List.of("team", "other-team");

  private static final int MIN_RUN_MILLIS = 200;
  private static final int MAX_RUN_MILLIS = 4_000;
  private static final int MIN_OVERDUE_RUN_MILLIS = 20_000;
  private static final int MAX_OVERDUE_RUN_MILLIS = 60_000;

  /** Reciprocal of the share of accelerators that tasks of long duration may occupy. */
  private static final int LASTING_SHARE = 4;

  private static final int MAX_GANG_SIZE = 8;
  private static final int MAX_FAILURES = 2;
  private static final int MAX_STEPS_PER_FAILING_STEP = 12;

  private final Random random;
  private final List<String> racks;
  private final int fleetAccelerators;
  private final int stepsPerFailingStep;
  private int lastingAccelerators;
  private int count;

  RandomWorkflows(Random random, List<String> racks, int fleetAccelerators) {
    this.random = random;
    this.racks = racks;
    this.fleetAccelerators = fleetAccelerators;
    this.stepsPerFailingStep = 2 + random.nextInt(MAX_STEPS_PER_FAILING_STEP);
  }

  ModelWorkflow next() {
    String team = TEAMS.get(random.nextInt(TEAMS.size()));
    ModelWorkflow workflow =
        new ModelWorkflow(
            "w" + count++, team, random.nextInt(3), new ArrayList<>(), new ArrayList<>());
    switch (random.nextInt(24)) {
      case 0 -> addLongRunning(workflow);
      case 1 -> addOverdue(workflow);
      case 2, 3, 4, 5, 6, 7 -> addGang(workflow);
      case 8, 9, 10 -> addLimited(workflow);
      case 11, 12, 13 -> addDependent(workflow);
      default -> addSingle(workflow);
    }
    return workflow;
  }

  private void addSingle(ModelWorkflow workflow) {
    add(workflow, randomStep(1 + random.nextInt(4), randomAccelerators()), randomBehaviour());
  }

  private void addGang(ModelWorkflow workflow) {
    int tasks = 1 + random.nextInt(MAX_GANG_SIZE);
    int accelerators =
        1 + random.nextInt(Math.min(maxAccelerators(), Math.max(1, fleetAccelerators / tasks)));
    WorkflowStep.Builder step = randomStep(tasks, accelerators);
    add(workflow, step.setGang(true).setSameRack(random.nextBoolean()), randomBehaviour());
  }

  private void addLimited(ModelWorkflow workflow) {
    WorkflowStep.Builder step = randomStep(1 + random.nextInt(4), 1 + random.nextInt(4));
    step.setMaxTasksPerMinion(1 + random.nextInt(2)).setGang(random.nextInt(3) == 0);
    add(workflow, step, randomBehaviour());
  }

  private void addDependent(ModelWorkflow workflow) {
    addSingle(workflow);
    if (random.nextBoolean()) {
      addGang(workflow);
    } else {
      addSingle(workflow);
    }
    WorkflowStep dependent = workflow.steps().get(1).toBuilder().addDependsOn(0).build();
    workflow.steps().set(1, dependent);
  }

  private void addLongRunning(ModelWorkflow workflow) {
    int accelerators = random.nextInt(3);
    int tasks = 1 + random.nextInt(2);
    if (!reserveLasting(tasks * accelerators)) {
      addSingle(workflow);
      return;
    }
    WorkflowStep.Builder step = randomStep(tasks, accelerators).setLongRunning(true);
    long runMillis = between(MAX_RUN_MILLIS, MAX_OVERDUE_RUN_MILLIS);
    add(workflow, step, new Behaviour(runMillis, Integer.MAX_VALUE, random.nextInt(8) == 0));
  }

  private void addOverdue(ModelWorkflow workflow) {
    int accelerators = 1 + random.nextInt(6);
    if (!reserveLasting(accelerators)) {
      addSingle(workflow);
      return;
    }
    WorkflowStep.Builder step = randomStep(1, accelerators);
    step.setEstimatedMillis(between(MIN_RUN_MILLIS, MAX_RUN_MILLIS));
    long runMillis = between(MIN_OVERDUE_RUN_MILLIS, MAX_OVERDUE_RUN_MILLIS);
    add(workflow, step, new Behaviour(runMillis, 0, false));
  }

  private boolean reserveLasting(int accelerators) {
    boolean allowed = lastingAccelerators + accelerators <= fleetAccelerators / LASTING_SHARE;
    lastingAccelerators += allowed ? accelerators : 0;
    return allowed;
  }

  private void add(ModelWorkflow workflow, WorkflowStep.Builder step, Behaviour behaviour) {
    if (step.getEstimatedMillis() == 0) {
      step.setEstimatedMillis(inaccurate(random, behaviour.runMillis()));
    }
    workflow.steps().add(step.build());
    workflow.behaviours().add(behaviour);
  }

  private WorkflowStep.Builder randomStep(int tasks, int accelerators) {
    WorkflowStep.Builder step =
        WorkflowStep.newBuilder().setTasks(tasks).setDemand(randomDemand(accelerators));
    if (random.nextInt(7) == 0) {
      step.setRequiredLabel(LABEL);
    }
    if (random.nextInt(7) == 0) {
      step.setDataRack(racks.get(random.nextInt(racks.size())));
    }
    return step;
  }

  private TaskDemand randomDemand(int accelerators) {
    long maxCpuMillicores = random.nextInt(6) == 0 ? 32_000 : 4_000;
    return TaskDemand.newBuilder()
        .setCpuMillicores(between(100, maxCpuMillicores))
        .setMemoryMegabytes(between(100, 16_000))
        .setAccelerators(accelerators)
        .build();
  }

  private int randomAccelerators() {
    return switch (random.nextInt(8)) {
      case 0 -> 0;
      case 1 -> 1 + random.nextInt(maxAccelerators());
      default -> 1 + random.nextInt(3);
    };
  }

  private static int maxAccelerators() {
    return (int) FakeMinion.CAPACITY.accelerators();
  }

  private Behaviour randomBehaviour() {
    int failures = random.nextInt(stepsPerFailingStep) == 0 ? 1 + random.nextInt(MAX_FAILURES) : 0;
    return new Behaviour(between(MIN_RUN_MILLIS, MAX_RUN_MILLIS), failures, random.nextInt(3) == 0);
  }

  /** Returns an estimate that is wrong by a factor of 0.1 to 10. */
  static long inaccurate(Random random, long runMillis) {
    return (long) Math.max(1, runMillis * Math.pow(10, 2 * random.nextDouble() - 1));
  }

  private long between(long min, long max) {
    return min + random.nextInt((int) (max - min));
  }
}
