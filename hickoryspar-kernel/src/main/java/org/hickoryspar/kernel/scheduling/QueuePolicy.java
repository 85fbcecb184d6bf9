package org.hickoryspar.kernel.scheduling;

/** Orders teams whose jobs compete; registered in {@code META-INF/services}. */
public interface QueuePolicy {

  /**
   * Returns the name under which the policy is chosen.
   *
   * @return the name, for example {@code "dominant-resource"}
   */
  String name();

  /**
   * Ranks a team; the team with the lowest rank is served next.
   *
   * @param share what the team holds and waits for
   * @return the rank
   */
  double rank(TeamShare share);

  /** Serves the team whose dominant share, divided by its weight, is lowest. */
  final class DominantResource implements QueuePolicy {

    /** Makes the policy; called by {@code ServiceLoader}. */
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

  /** Serves the team whose oldest job was submitted first. */
  final class SubmissionOrder implements QueuePolicy {

    /** Makes the policy; called by {@code ServiceLoader}. */
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
