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
 * Searches for room for gangs, independently of any scheduler.
 *
 * <p>The search is greedy. A gang or a set of guarantees that it packs does fit; one that it does
 * not pack may still fit, so a caller that accuses a scheduler also looks at the scheduler's own
 * proposal.
 */
final class Packer {

  private final SimulatedFleet occupancy;

  Packer(SimulatedFleet occupancy) {
    this.occupancy = occupancy;
  }

  /** Finds the tightest room for a gang and subtracts it from the table. */
  Optional<List<Integer>> pack(ResourceTable table, GangShape shape) {
    List<Integer> best = List.of();
    int bestSpare = Integer.MAX_VALUE;
    for (int[] candidate : candidates(shape)) {
      int fitting = 0;
      int accelerators = 0;
      for (int worker : candidate) {
        fitting += table.fitting(worker, shape.perTask(), shape.tasks());
        accelerators += table.accelerators(worker);
      }
      if (fitting >= shape.tasks() && accelerators < bestSpare) {
        bestSpare = accelerators;
        best = fill(table, shape, candidate);
      }
    }
    if (best.isEmpty()) {
      return Optional.empty();
    }
    best.forEach(worker -> table.add(worker, shape.perTask(), -1));
    return Optional.of(best);
  }

  /**
   * Returns whether all guarantees can be formed at once from what is reclaimable; a team's own
   * running work counts towards its own guarantees.
   */
  boolean packGuarantees(
      ResourceTable reclaimable, Collection<TeamPolicy> teams, Map<String, List<JobState>> fixed) {
    ResourceTable table = reclaimable.copy();
    List<TeamPolicy> largestFirst = new ArrayList<>(teams);
    largestFirst.sort(
        Comparator.comparingInt(
            team -> -team.guarantees().stream().mapToInt(Packer::accelerators).max().orElse(0)));
    for (TeamPolicy team : largestFirst) {
      ResourceTable own = table.copy();
      fixed.getOrDefault(team.team(), List.of()).forEach(job -> occupancy.addUsable(own, job, 1));
      List<GangShape> shapes = new ArrayList<>(team.guarantees());
      shapes.sort(Comparator.comparingInt(shape -> -accelerators(shape)));
      for (GangShape shape : shapes) {
        if (pack(own, shape).isEmpty()) {
          return false;
        }
      }
      table.limitTo(own);
    }
    return true;
  }

  /** Returns the running gangs that may not be preempted, by team. */
  Map<String, List<JobState>> fixedByTeam() {
    Map<String, List<JobState>> fixed = new TreeMap<>();
    for (JobState job : occupancy.holders()) {
      if (!SimulatedFleet.isReclaimable(job)) {
        fixed.computeIfAbsent(job.request().team(), team -> new ArrayList<>()).add(job);
      }
    }
    return fixed;
  }

  static int accelerators(GangShape shape) {
    return shape.tasks() * shape.perTask().accelerators();
  }

  private List<int[]> candidates(GangShape shape) {
    return switch (shape.adjacency()) {
      case RACK -> occupancy.racks();
      case WORKER -> singles();
      case NONE -> shape.tasks() == 1 ? singles() : List.of(all());
    };
  }

  private List<int[]> singles() {
    List<int[]> singles = new ArrayList<>(occupancy.size());
    for (int i = 0; i < occupancy.size(); i++) {
      singles.add(new int[] {i});
    }
    return singles;
  }

  private int[] all() {
    int[] all = new int[occupancy.size()];
    for (int i = 0; i < all.length; i++) {
      all[i] = i;
    }
    return all;
  }

  private static List<Integer> fill(ResourceTable table, GangShape shape, int[] candidate) {
    List<Integer> workers = new ArrayList<>();
    for (int worker : candidate) {
      int count = table.fitting(worker, shape.perTask(), shape.tasks() - workers.size());
      for (int i = 0; i < count; i++) {
        workers.add(worker);
      }
    }
    return workers;
  }
}
