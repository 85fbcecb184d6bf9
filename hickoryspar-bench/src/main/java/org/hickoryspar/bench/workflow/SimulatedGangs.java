package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;

/** Starts the work of a gang once all members have started, and ends the members together. */
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

  /** Ends the other members of a gang when one has ended. */
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

  /** Ends members that have waited for the others longer than the gang timeout. */
  void advance(long nowMillis) {
    for (List<Member> members : List.copyOf(membersByGang.values())) {
      for (Member member : List.copyOf(members)) {
        if (!member.run.isWorking() && nowMillis - member.run.startedMillis() > gangTimeoutMillis) {
          member.minion.end(member.run, RunEnd.Cause.GROUP_INCOMPLETE, nowMillis);
        }
      }
    }
  }

  /** Returns the factor by which a run takes longer because its gang spans several racks. */
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
