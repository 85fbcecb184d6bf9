package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.ModelWorkflow.Behaviour;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.WorkflowState;
import org.hickoryspar.protocol.WorkflowStep;

/** Teams that submit workflows to a fleet of fake minions, and when these start. */
final class TeamLoadModel {

  private static final int PRIORITY = 1;

  private final ModelFleet fleet;
  private final List<Submission> waiting = new ArrayList<>();
  private final List<Submission> started = new ArrayList<>();
  private final Set<String> teams = new HashSet<>();
  private int count;

  TeamLoadModel(Random random, int racks, int rackSize) {
    fleet = new ModelFleet(random, racks, rackSize);
    fleet.minions().forEach(minion -> minion.reportIfDue(fleet.harness()));
    fleet.harness().advanceTime(ModelFleet.STEP_MILLIS);
  }

  ModelFleet fleet() {
    return fleet;
  }

  void addTeam(String team, double weight) {
    teams.add(team);
    fleet.harness().addTeam(team, weight);
  }

  /** Submits a workflow of one step, whose declared run time is the real one. */
  void submit(String team, WorkflowStep.Builder step, long runMillis) {
    ModelWorkflow workflow =
        new ModelWorkflow(
            team + '-' + count++,
            team,
            PRIORITY,
            List.of(step.setEstimatedMillis(runMillis).build()),
            List.of(new Behaviour(runMillis, 0, false)));
    waiting.add(new Submission(team, fleet.submit(workflow), fleet.nowMillis()));
  }

  /** Advances the time by one step; returns what has started in it. */
  List<Submission> advance() {
    fleet.advance();
    List<Submission> startedNow = new ArrayList<>();
    for (Submission submission : waiting) {
      if (submission.workflow.state() != WorkflowState.WORKFLOW_QUEUED) {
        submission.startedMillis = fleet.nowMillis();
        startedNow.add(submission);
      }
    }
    waiting.removeAll(startedNow);
    started.addAll(startedNow);
    return startedNow;
  }

  /** Returns the longest wait of a team's workflows, of which none may still wait. */
  long longestWaitMillis(String team) {
    if (waiting.stream().anyMatch(submission -> submission.team.equals(team))) {
      throw new AssertionError("work of " + team + " still waits");
    }
    return started.stream()
        .filter(submission -> submission.team.equals(team))
        .mapToLong(submission -> submission.startedMillis - submission.submittedMillis)
        .max()
        .orElseThrow();
  }

  /** Returns the oldest waiting workflow of a team. */
  Optional<Submission> oldest(String team) {
    return waiting.stream().filter(submission -> submission.team.equals(team)).findFirst();
  }

  /** Returns the number of running tasks of a team. */
  long runningTasks(String team) {
    return fleet.minions().stream()
        .flatMap(minion -> minion.fake().running().stream())
        .filter(run -> run.workflowId().startsWith(team + '-'))
        .count();
  }

  long nowMillis() {
    return fleet.nowMillis();
  }

  static final class Submission {

    final String team;
    final Workflow workflow;
    final long submittedMillis;
    long startedMillis;

    Submission(String team, Workflow workflow, long submittedMillis) {
      this.team = team;
      this.workflow = workflow;
      this.submittedMillis = submittedMillis;
    }
  }
}
