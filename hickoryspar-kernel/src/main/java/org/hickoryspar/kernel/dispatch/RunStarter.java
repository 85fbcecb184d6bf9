package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.WorkflowEvent;

/**
 * Carries out the decisions of the planner. A start is proposed to the replicated log, and its
 * resources are allocated immediately; it is ignored if the queue has been sent to another service
 * since the placement was chosen. A victim is marked, and {@link TaskOrderSender} sends the stop.
 */
final class RunStarter implements Planner.PlanExecutor {

  private final RunTable runs;
  private final WaitingSteps waitingSteps;
  private final Outbox outbox;
  private final DispatchListener listener;

  RunStarter(RunTable runs, WaitingSteps waitingSteps, Outbox outbox, DispatchListener listener) {
    this.runs = runs;
    this.waitingSteps = waitingSteps;
    this.outbox = outbox;
    this.listener = listener;
  }

  @Override
  public void start(Placement placement, long nowMillis, long wallMillis) {
    WaitingStep waitingStep = placement.waitingStep();
    if (!placement.isWithin(waitingSteps.queueOf(waitingStep.workflow()).getService())) {
      return;
    }
    ActiveRun run = newRun(placement, nowMillis);
    RunStart.Builder start =
        RunStart.newBuilder()
            .setWorkflowId(waitingStep.workflow().id())
            .setOccurrence(waitingStep.occurrence())
            .setStep(waitingStep.stepIndex())
            .setFirstTask(placement.group().firstTask())
            .setRun(run.number());
    for (Minion minion : placement.minions()) {
      run.members().add(new Member(run, run.members().size(), minion, waitingStep.demand()));
      start.addMinions(minion.life());
    }
    runs.add(run);
    outbox.propose(WorkflowEvent.newBuilder().setRunStart(start).build());
    reportPlacement(placement, run, wallMillis - waitingStep.dueMillis());
    waitingSteps.refresh(waitingStep.workflow(), wallMillis);
  }

  private static ActiveRun newRun(Placement placement, long nowMillis) {
    WaitingStep waitingStep = placement.waitingStep();
    TaskGroup group = placement.group();
    return new ActiveRun(
        waitingStep.workflow(),
        waitingStep.occurrence(),
        waitingStep.stepIndex(),
        group,
        group.lastRun() + 1,
        group.checkpoint(),
        nowMillis);
  }

  private void reportPlacement(Placement placement, ActiveRun run, long waitedMillis) {
    WaitingStep waitingStep = placement.waitingStep();
    listener.onEvent(
        DispatchEventKind.RUN_PLACED,
        run.taskRun(0).toString(),
        "tasks",
        placement.group().size(),
        "queue",
        waitingStep.queue().getName(),
        "priority",
        waitingStep.queue().getPriority(),
        "waitedMillis",
        waitedMillis,
        "minions",
        placement.minions().stream().map(Minion::id).distinct().toList());
    listener.onGroupPlaced(waitingStep.queue().getPriority(), waitedMillis);
  }

  @Override
  public void preempt(ActiveRun victim, Placement beneficiary, long nowMillis) {
    if (victim.isStopRequested()) {
      return;
    }
    victim.requestStop();
    listener.onEvent(
        DispatchEventKind.RUN_PREEMPTED,
        victim.taskRun(0).toString(),
        "for",
        beneficiary.waitingStep().workflow().id(),
        "workedMillis",
        victim.runningMillis(nowMillis),
        "checkpointing",
        victim.step().getCheckpointing());
  }
}
