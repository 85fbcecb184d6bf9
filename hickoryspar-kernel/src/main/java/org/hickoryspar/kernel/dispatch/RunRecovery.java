package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.Run;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunStart;

/**
 * Recovers the runs that earlier leaders recorded. A run keeps its resources until its minions
 * report its state or their leases expire.
 */
final class RunRecovery {

  private final MinionTable minions;
  private final RunTable runs;

  RunRecovery(MinionTable minions, RunTable runs) {
    this.minions = minions;
    this.runs = runs;
  }

  /** Recovers all active runs of a workflow. */
  void recover(Workflow workflow, long nowMillis, long wallMillis) {
    for (Occurrence occurrence : workflow.openOccurrences()) {
      for (int step = 0; step < workflow.spec().getStepsCount(); step++) {
        for (TaskGroup group : occurrence.groups(step)) {
          for (Run recordedRun : group.activeRuns()) {
            recover(workflow, occurrence.number(), step, group, recordedRun, nowMillis, wallMillis);
          }
        }
      }
    }
  }

  /** Recovers a run whose start has just been recorded. */
  void recover(Workflow workflow, RunStart start, long nowMillis, long wallMillis) {
    workflow
        .findGroup(start.getOccurrence(), start.getStep(), start.getFirstTask())
        .ifPresent(
            group ->
                group
                    .findRun(start.getRun())
                    .ifPresent(
                        recordedRun ->
                            recover(
                                workflow,
                                start.getOccurrence(),
                                start.getStep(),
                                group,
                                recordedRun,
                                nowMillis,
                                wallMillis)));
  }

  private void recover(
      Workflow workflow,
      int occurrence,
      int step,
      TaskGroup group,
      Run recordedRun,
      long nowMillis,
      long wallMillis) {
    ActiveRun run =
        new ActiveRun(
            workflow, occurrence, step, group, recordedRun.number(), group.checkpoint(), nowMillis);
    if (recordedRun.startedMillis() > 0) {
      run.inheritStart(nowMillis - Math.max(0, wallMillis - recordedRun.startedMillis()));
    }
    recover(run, recordedRun, nowMillis);
  }

  private void recover(ActiveRun run, Run recordedRun, long nowMillis) {
    Resources demand = WaitingStep.demandOf(run.step());
    for (int i = 0; i < recordedRun.minions().size(); i++) {
      Minion minion = minions.findOrAdd(recordedRun.minions().get(i), nowMillis);
      Member member = new Member(run, i, minion, demand);
      member.markInherited();
      run.members().add(member);
    }
    runs.add(run);
    for (Member member : run.members()) {
      if (recordedRun.hasEnded(member.index())) {
        member.markEnded();
        runs.release(member);
        run.requestStop();
      }
    }
    if (run.workflow().isEnded() || run.group().isDone()) {
      run.requestStop();
    }
  }
}
