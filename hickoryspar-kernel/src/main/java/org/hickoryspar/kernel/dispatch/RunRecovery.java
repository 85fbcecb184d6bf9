package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.Occurrence;
import org.hickoryspar.kernel.workflow.Run;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunStart;

/**
 * Takes over the runs that earlier leaders recorded. Each holds its room until its minion tells
 * what became of it, or its lease is over.
 */
final class RunRecovery {

  private final MinionTable minions;
  private final RunTable runs;
  private final long nowMillis;

  RunRecovery(MinionTable minions, RunTable runs, long nowMillis) {
    this.minions = minions;
    this.runs = runs;
    this.nowMillis = nowMillis;
  }

  /** Takes over all runs of a workflow. */
  void recover(Workflow workflow) {
    for (Occurrence occurrence : workflow.openOccurrences()) {
      for (int step = 0; step < workflow.spec().getStepsCount(); step++) {
        for (TaskGroup group : occurrence.groups(step)) {
          for (Run recorded : group.active()) {
            recover(workflow, occurrence.number(), step, group, recorded);
          }
        }
      }
    }
  }

  /** Takes over one run that was recorded just now. */
  void recover(Workflow workflow, RunStart start) {
    workflow
        .findGroup(start.getOccurrence(), start.getStep(), start.getFirstTask())
        .ifPresent(
            group ->
                group
                    .findRun(start.getRun())
                    .ifPresent(
                        recorded ->
                            recover(
                                workflow,
                                start.getOccurrence(),
                                start.getStep(),
                                group,
                                recorded)));
  }

  private void recover(Workflow workflow, int occurrence, int step, TaskGroup group, Run recorded) {
    String checkpoint = group.checkpoint();
    recover(
        new ActiveRun(workflow, occurrence, step, group, recorded.number(), checkpoint, nowMillis),
        recorded);
  }

  private void recover(ActiveRun run, Run recorded) {
    Room demand = WaitingStep.demandOf(run.step());
    for (int i = 0; i < recorded.minions().size(); i++) {
      Minion minion = minions.findOrAdd(recorded.minions().get(i), nowMillis);
      Member member = new Member(run, i, minion, demand);
      member.inherit();
      run.members().add(member);
    }
    runs.add(run);
    for (Member member : run.members()) {
      if (recorded.hasEnded(member.index())) {
        member.end();
        runs.release(member);
        run.wantStop();
      }
    }
    if (run.workflow().isEnded() || run.group().isDone()) {
      run.wantStop();
    }
  }
}
