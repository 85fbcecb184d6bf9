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
  private final Map<TaskRun, List<Member>> present = new HashMap<>();

  SimulatedGangs(long gangTimeoutMillis, double crossRackFactor) {
    this.gangTimeoutMillis = gangTimeoutMillis;
    this.crossRackFactor = crossRackFactor;
  }

  void started(SimulatedMinion minion, SimulatedRun run) {
    WorkflowStep step = stepOf(run);
    if (!step.getGang()) {
      return;
    }
    List<Member> places = present.computeIfAbsent(gangOf(run), gang -> new ArrayList<>());
    places.add(new Member(minion, run));
    if (places.size() == step.getTasks()) {
      places.forEach(place -> place.run.work());
    }
  }

  /** Ends the others when one member has ended. */
  void ended(SimulatedRun run, RunEnd.Cause cause, long nowMillis) {
    List<Member> places = present.remove(gangOf(run));
    if (places == null) {
      return;
    }
    RunEnd.Cause others =
        cause == RunEnd.Cause.DONE ? RunEnd.Cause.DONE : RunEnd.Cause.GROUP_BROKEN;
    for (Member place : places) {
      if (place.run != run) {
        place.minion.end(place.run, others, nowMillis);
      }
    }
  }

  /** Ends members that have waited too long for the others. */
  void advance(long nowMillis) {
    for (List<Member> places : List.copyOf(present.values())) {
      for (Member place : List.copyOf(places)) {
        if (!place.run.isWorking() && nowMillis - place.run.startedMillis() > gangTimeoutMillis) {
          place.minion.end(place.run, RunEnd.Cause.GROUP_INCOMPLETE, nowMillis);
        }
      }
    }
  }

  /** Returns how much longer the work of a run takes for the racks that its gang is spread over. */
  double slowdown(SimulatedRun run) {
    List<Member> places = present.get(gangOf(run));
    if (places == null || !stepOf(run).getSameRack()) {
      return 1;
    }
    Set<String> racks = new HashSet<>();
    places.forEach(place -> racks.add(place.minion.rack()));
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
