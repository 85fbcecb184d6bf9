package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.TaskRun;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;

/** Lets the members of a gang work from the moment that all are there, and end together. */
final class SimulatedGangs {

  private final long gangTimeoutMillis;
  private final double crossRackFactor;
  private final Map<TaskRun, List<Member>> membersByGang = new HashMap<>();

  SimulatedGangs(long gangTimeoutMillis, double crossRackFactor) {
    this.gangTimeoutMillis = gangTimeoutMillis;
    this.crossRackFactor = crossRackFactor;
  }

  void recordStart(SimulatedMinion minion, SimulatedRun run) {
    WorkflowStep step = stepOf(run);
    if (!step.getGang()) {
      return;
    }
    List<Member> members = membersByGang.computeIfAbsent(gangOf(run), gang -> new ArrayList<>());
    members.add(new Member(minion, run));
    if (members.size() == step.getTasks()) {
      members.forEach(member -> member.run.startWork());
    }
  }

  /** Ends the others when one member has ended. */
  void recordEnd(SimulatedRun run, RunEnd.Cause cause, long nowMillis) {
    List<Member> members = membersByGang.remove(gangOf(run));
    if (members == null) {
      return;
    }
    RunEnd.Cause causeOfOthers =
        cause == RunEnd.Cause.DONE ? RunEnd.Cause.DONE : RunEnd.Cause.GROUP_BROKEN;
    for (Member member : members) {
      if (member.run != run) {
        member.minion.end(member.run, causeOfOthers, nowMillis);
      }
    }
  }

  /** Ends members that have waited too long for the others. */
  void advance(long nowMillis) {
    for (List<Member> members : List.copyOf(membersByGang.values())) {
      for (Member member : List.copyOf(members)) {
        if (!member.run.isWorking() && nowMillis - member.run.startedMillis() > gangTimeoutMillis) {
          member.minion.end(member.run, RunEnd.Cause.GROUP_INCOMPLETE, nowMillis);
        }
      }
    }
  }

  /** Returns how much longer the work of a run takes for the racks that its gang is spread over. */
  double slowdown(SimulatedRun run) {
    List<Member> members = membersByGang.get(gangOf(run));
    if (members == null || !stepOf(run).getSameRack()) {
      return 1;
    }
    Set<String> racks = new HashSet<>();
    members.forEach(member -> racks.add(member.minion.rack()));
    return racks.size() > 1 ? crossRackFactor : 1;
  }

  private static WorkflowStep stepOf(SimulatedRun run) {
    return run.workflow().submission().getSpec().getSteps(run.taskRun().step());
  }

  private static TaskRun gangOf(SimulatedRun run) {
    TaskRun task = run.taskRun();
    return new TaskRun(task.workflowId(), task.occurrence(), task.step(), -1, task.run());
  }

  private record Member(SimulatedMinion minion, SimulatedRun run) {}
}
