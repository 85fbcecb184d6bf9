package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** One guaranteed shape of one team, and where the plan forms it. */
final class GuaranteeState {

  private final String team;
  private final GangShape shape;
  private int @Nullable [] plannedWorkers;
  private @Nullable String holderJobId;

  GuaranteeState(String team, GangShape shape) {
    this.team = team;
    this.shape = shape;
  }

  String team() {
    return team;
  }

  GangShape shape() {
    return shape;
  }

  /** Returns the worker of each task, or null when the shape cannot be formed. */
  int @Nullable [] plannedWorkers() {
    return plannedWorkers;
  }

  void setPlannedWorkers(int @Nullable [] plannedWorkers) {
    this.plannedWorkers = plannedWorkers;
  }

  /** Returns the job that uses or claims the guarantee, or null. */
  @Nullable String holderJobId() {
    return holderJobId;
  }

  void setHolderJobId(@Nullable String holderJobId) {
    this.holderJobId = holderJobId;
  }

  /** Returns whether no job uses or claims the guarantee. */
  boolean isIdle() {
    return holderJobId == null;
  }

  /** Returns the accelerators of the whole shape. */
  int totalAccelerators() {
    return shape.tasks() * shape.perTask().accelerators();
  }

  /** Returns whether a job asks for what is guaranteed, so that it may take the guarantee. */
  boolean matches(JobRequest job) {
    GangShape requested = job.shape();
    boolean adjacencySatisfied =
        requested.adjacency() == Adjacency.NONE
            || requested.adjacency() == shape.adjacency()
            || shape.adjacency() == Adjacency.WORKER;
    return team.equals(job.team())
        && adjacencySatisfied
        && requested.tasks() == shape.tasks()
        && requested.perTask().accelerators() == shape.perTask().accelerators()
        && requested.perTask().fitsIn(shape.perTask());
  }

  /** Returns how much more the guarantee gives than a matching job asks for; 0 if it is equal. */
  long excess(JobRequest job) {
    GangShape requested = job.shape();
    long adjacencyExcess = requested.adjacency() == shape.adjacency() ? 0 : 1;
    long coresExcess = (long) shape.perTask().cores() - requested.perTask().cores();
    long memoryExcessMegabytes =
        (long) shape.perTask().memoryMegabytes() - requested.perTask().memoryMegabytes();
    // Adjacency is the scarcest, then cores; a gigabyte weighs a quarter of a core.
    return (adjacencyExcess << 52) + (coresExcess << 16) + memoryExcessMegabytes * 16;
  }
}
