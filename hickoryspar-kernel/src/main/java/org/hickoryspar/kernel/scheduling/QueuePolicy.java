package org.hickoryspar.kernel.scheduling;

/** Orders teams with waiting jobs; a plug-in registered in {@code META-INF/services}. */
public interface QueuePolicy {

  /**
   * Returns the name by which the policy is selected.
   *
   * @return the name, for example {@code "dominant-resource"}
   */
  String name();

  /**
   * Returns the rank of a team; a job of the team with the lowest rank is tried next.
   *
   * @param share the usage of the team and the age of its next job
   * @return the rank
   */
  double rank(TeamShare share);

  /** Prefers the team with the lowest dominant share, divided by its weight. */
  final class DominantResource implements QueuePolicy {

    /** Creates the policy; called by {@code ServiceLoader}. */
    public DominantResource() {}

    @Override
    public String name() {
      return "dominant-resource";
    }

    @Override
    public double rank(TeamShare share) {
      ResourceVector held = share.held();
      ResourceVector fleetCapacity = share.fleetCapacity();
      double dominantShare =
          Math.max(
              shareOf(held.accelerators(), fleetCapacity.accelerators()),
              Math.max(
                  shareOf(held.cores(), fleetCapacity.cores()),
                  shareOf(held.memoryMegabytes(), fleetCapacity.memoryMegabytes())));
      return dominantShare / share.weight();
    }

    private static double shareOf(int amount, int total) {
      return total == 0 ? 0 : (double) amount / total;
    }
  }

  /** Prefers the team whose next job was submitted first. */
  final class SubmissionOrder implements QueuePolicy {

    /** Creates the policy; called by {@code ServiceLoader}. */
    public SubmissionOrder() {}

    @Override
    public String name() {
      return "submission-order";
    }

    @Override
    public double rank(TeamShare share) {
      return share.oldestSubmittedMillis();
    }
  }
}
