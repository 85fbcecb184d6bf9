package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;

/** Generates the workflows of a run from a seed. */
final class WorkflowGenerator {

  static final String SERVICE = "service";

  private final Random random;
  private final WorkflowDeployment deployment;
  private long lastId;

  WorkflowGenerator(long seed, WorkflowDeployment deployment) {
    this.random = new Random(seed);
    this.deployment = deployment;
  }

  /** Generates workflows in the order of their submission. */
  List<SimulatedWorkflow> generate(List<WorkflowKind> kinds, long fromMillis, long toMillis) {
    List<SimulatedWorkflow> workflows = new ArrayList<>();
    kinds.forEach(kind -> addArrivals(workflows, kind, fromMillis, toMillis));
    workflows.sort(Comparator.comparingLong(SimulatedWorkflow::submittedMillis));
    return workflows;
  }

  /** Generates the additional workflows of the kinds with the highest priority during a burst. */
  List<SimulatedWorkflow> generateBurst(
      List<WorkflowKind> kinds, double rateFactor, long fromMillis, long toMillis) {
    List<WorkflowKind> urgentKinds =
        kinds.stream()
            .filter(kind -> kind.priority() == 0 && rateFactor > 1)
            .map(kind -> kind.withScaledRate(rateFactor - 1))
            .toList();
    return generate(urgentKinds, fromMillis, toMillis);
  }

  private void addArrivals(
      List<SimulatedWorkflow> workflows, WorkflowKind kind, long fromMillis, long toMillis) {
    double atMillis = fromMillis;
    while (true) {
      atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond();
      if (atMillis >= toMillis) {
        return;
      }
      workflows.add(newWorkflow(kind, (long) atMillis));
    }
  }

  private SimulatedWorkflow newWorkflow(WorkflowKind kind, long atMillis) {
    int tasks =
        (int)
            Math.max(
                1,
                Math.min(
                    kind.maxTasks(),
                    Math.round(kind.tasks() * Math.exp(random.nextGaussian() * 0.7 - 0.25))));
    long workMillis =
        (long) Math.max(300, kind.workMillis() * Math.exp(random.nextGaussian() * 0.3 - 0.045));
    int accelerators = kind.accelerators().get(random.nextInt(kind.accelerators().size()));
    boolean alwaysFails = random.nextDouble() < kind.hopelessShare();
    boolean cancelled = random.nextDouble() < kind.cancelShare();
    WorkflowStep step =
        WorkflowStep.newBuilder()
            .setTasks(tasks)
            .setDemand(
                TaskDemand.newBuilder()
                    .setCpuMillicores(kind.cpuMillicores())
                    .setMemoryMegabytes(kind.memoryMegabytes())
                    .setAccelerators(accelerators))
            .setEstimatedMillis((long) (workMillis * (0.5 + random.nextDouble())))
            .setGang(kind.gang())
            .setSameRack(
                kind.gang()
                    && random.nextDouble() < kind.sameRackShare()
                    && tasks <= deployment.tasksPerRack(kind, accelerators))
            .setCheckpointing(random.nextDouble() < kind.checkpointShare())
            .build();
    SubmitWorkflow submission =
        SubmitWorkflow.newBuilder()
            .setWorkflowId(String.format("%016x", ++lastId))
            .setTeam("team-" + random.nextInt(deployment.teams()))
            .setQueue(queue(kind))
            .setSpec(WorkflowSpec.newBuilder().setPayload("payload").addSteps(step))
            .build();
    return new SimulatedWorkflow(
        kind,
        submission,
        atMillis,
        workMillis,
        alwaysFails ? 1 : kind.failureShare(),
        cancelled ? atMillis + 500 + random.nextInt((int) (3 * workMillis)) : Long.MAX_VALUE);
  }

  static Queue queue(WorkflowKind kind) {
    return Queue.newBuilder()
        .setName(kind.name())
        .setHost("host")
        .setPathPrefix('/' + kind.name() + '/')
        .setService(SERVICE)
        .setPriority(kind.priority())
        .setMaxAttempts(kind.maxAttempts())
        .setStretch(kind.stretch())
        .setTargetCompletionMillis((long) kind.targetMillis())
        .setTimeoutMillis(3_000)
        .build();
  }
}
