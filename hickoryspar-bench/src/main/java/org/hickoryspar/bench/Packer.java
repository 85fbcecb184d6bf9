package org.hickoryspar.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.TeamPolicy;

/**
 * Places gangs on free resources, independently of any scheduler.
 *
 * <p>The search is greedy: each placement that it finds is valid, but it may miss an existing one.
 * Before a failed search counts as a violation, the caller therefore also checks the placements
 * that the scheduler reports.
 */
final class Packer {

  private final SimulatedFleet fleet;

  Packer(SimulatedFleet fleet) {
    this.fleet = fleet;
  }

  /**
   * Finds the best-fit placement of a gang and subtracts it from the table; returns the worker of
   * each task, or empty if there is no placement.
   */
  Optional<List<Integer>> pack(ResourceTable table, GangShape shape) {
    List<Integer> bestFit = List.of();
    int fewestFreeAccelerators = Integer.MAX_VALUE;
    for (int[] candidate : candidates(shape)) {
      int fittingTasks = 0;
      int freeAccelerators = 0;
      for (int worker : candidate) {
        fittingTasks += table.countFitting(worker, shape.perTask(), shape.tasks());
        freeAccelerators += table.accelerators(worker);
      }
      if (fittingTasks >= shape.tasks() && freeAccelerators < fewestFreeAccelerators) {
        fewestFreeAccelerators = freeAccelerators;
        bestFit = assignTasks(table, shape, candidate);
      }
    }
    if (bestFit.isEmpty()) {
      return Optional.empty();
    }
    bestFit.forEach(worker -> table.add(worker, shape.perTask(), -1));
    return Optional.of(bestFit);
  }

  /**
   * Returns whether a placement of all guarantees at once was found. The resources that committed
   * gangs of a team hold are available to the guarantees of that team.
   */
  boolean packGuarantees(
      ResourceTable freeAfterPreemption,
      Collection<TeamPolicy> teams,
      Map<String, List<JobState>> committedByTeam) {
    ResourceTable table = freeAfterPreemption.copy();
    List<TeamPolicy> largestFirst = new ArrayList<>(teams);
    largestFirst.sort(
        Comparator.comparingInt(
            team ->
                -team.guarantees().stream().mapToInt(Packer::totalAccelerators).max().orElse(0)));
    for (TeamPolicy team : largestFirst) {
      ResourceTable teamTable = table.copy();
      committedByTeam
          .getOrDefault(team.team(), List.of())
          .forEach(job -> fleet.addOnUsableWorkers(teamTable, job, 1));
      List<GangShape> shapes = new ArrayList<>(team.guarantees());
      shapes.sort(Comparator.comparingInt(shape -> -totalAccelerators(shape)));
      for (GangShape shape : shapes) {
        if (pack(teamTable, shape).isEmpty()) {
          return false;
        }
      }
      table.limitTo(teamTable);
    }
    return true;
  }

  /** Returns the gangs that hold resources, are not preemptible and are not stopping, by team. */
  Map<String, List<JobState>> committedByTeam() {
    Map<String, List<JobState>> committed = new TreeMap<>();
    for (JobState job : fleet.activeJobs()) {
      if (!SimulatedFleet.isPreemptibleOrStopping(job)) {
        committed.computeIfAbsent(job.request().team(), team -> new ArrayList<>()).add(job);
      }
    }
    return committed;
  }

  static int totalAccelerators(GangShape shape) {
    return shape.tasks() * shape.perTask().accelerators();
  }

  private List<int[]> candidates(GangShape shape) {
    return switch (shape.adjacency()) {
      case RACK -> fleet.racks();
      case WORKER -> singleWorkers();
      case NONE -> shape.tasks() == 1 ? singleWorkers() : List.of(allWorkers());
    };
  }

  private List<int[]> singleWorkers() {
    List<int[]> singles = new ArrayList<>(fleet.size());
    for (int i = 0; i < fleet.size(); i++) {
      singles.add(new int[] {i});
    }
    return singles;
  }

  private int[] allWorkers() {
    int[] all = new int[fleet.size()];
    for (int i = 0; i < all.length; i++) {
      all[i] = i;
    }
    return all;
  }

  private static List<Integer> assignTasks(ResourceTable table, GangShape shape, int[] candidate) {
    List<Integer> workers = new ArrayList<>();
    for (int worker : candidate) {
      int count = table.countFitting(worker, shape.perTask(), shape.tasks() - workers.size());
      for (int i = 0; i < count; i++) {
        workers.add(worker);
      }
    }
    return workers;
  }
}
