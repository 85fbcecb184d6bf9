package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.WorkflowEvent;

/**
 * Carries out what the planner decides. A start is proposed to the replicated log and its room is
 * taken at once; a victim is marked, and its stop is ordered by {@link TaskOrders}.
 */
final class RunStarter implements Planner.PlanExecutor {

  private final RunTable runs;
  private final WaitingSteps waiting;
  private final Outbox outbox;
  private final DispatchListener listener;

  RunStarter(RunTable runs, WaitingSteps waiting, Outbox outbox, DispatchListener listener) {
    this.runs = runs;
    this.waiting = waiting;
    this.outbox = outbox;
    this.listener = listener;
  }

  @Override
  public void start(Placement placement, long nowMillis, long wallMillis) {
    WaitingStep step = placement.waiting();
    ActiveRun run = newRun(placement, nowMillis);
    RunStart.Builder start =
        RunStart.newBuilder()
            .setWorkflowId(step.workflow().id())
            .setOccurrence(step.occurrence())
            .setStep(step.stepIndex())
            .setFirstTask(placement.group().firstTask())
            .setRun(run.number());
    for (Minion minion : placement.minions()) {
      run.members().add(new Member(run, run.members().size(), minion, step.demand()));
      start.addMinions(minion.life());
    }
    runs.add(run);
    outbox.propose(WorkflowEvent.newBuilder().setRunStart(start).build());
    report(placement, run, wallMillis - step.dueMillis());
    waiting.refresh(step.workflow(), wallMillis);
  }

  private static ActiveRun newRun(Placement placement, long nowMillis) {
    WaitingStep step = placement.waiting();
    TaskGroup group = placement.group();
    return new ActiveRun(
        step.workflow(),
        step.occurrence(),
        step.stepIndex(),
        group,
        group.lastRun() + 1,
        group.checkpoint(),
        nowMillis);
  }

  private void report(Placement placement, ActiveRun run, long waitedMillis) {
    WaitingStep step = placement.waiting();
    listener.happened(
        DispatchEventKind.RUN_PLACED,
        run.taskRun(0).toString(),
        "tasks",
        placement.group().size(),
        "queue",
        step.queue().getName(),
        "priority",
        step.queue().getPriority(),
        "waitedMillis",
        waitedMillis,
        "minions",
        placement.minions().stream().map(Minion::id).distinct().toList());
    listener.placed(step.queue().getPriority(), waitedMillis);
  }

  @Override
  public void preempt(ActiveRun victim, Placement beneficiary, long nowMillis) {
    if (victim.isStopWanted()) {
      return;
    }
    victim.wantStop();
    listener.happened(
        DispatchEventKind.RUN_PREEMPTED,
        victim.taskRun(0).toString(),
        "for",
        beneficiary.waiting().workflow().id(),
        "workedMillis",
        victim.workedMillis(nowMillis),
        "checkpointing",
        victim.step().getCheckpointing());
  }
}
