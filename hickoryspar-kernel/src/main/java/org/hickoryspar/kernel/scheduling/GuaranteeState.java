package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** A guaranteed shape of a team, the workers planned for it and the job that uses it. */
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

  /** Returns the planned worker of each task, or null if the guarantee is unassigned. */
  int @Nullable [] plannedWorkers() {
    return plannedWorkers;
  }

  void setPlannedWorkers(int @Nullable [] plannedWorkers) {
    this.plannedWorkers = plannedWorkers;
  }

  /** Returns the job that uses the guarantee or has a pending placement under it, or null. */
  @Nullable String holderJobId() {
    return holderJobId;
  }

  void setHolderJobId(@Nullable String holderJobId) {
    this.holderJobId = holderJobId;
  }

  /** Returns whether the guarantee has no holder. */
  boolean isIdle() {
    return holderJobId == null;
  }

  int totalAccelerators() {
    return shape.tasks() * shape.perTask().accelerators();
  }

  /**
   * Returns whether a job of the team may use the guarantee: it needs the same number of tasks and
   * accelerators, and no more of the other resources and no stricter adjacency.
   */
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

  /** Returns a measure of the resources that a matching job leaves unused; 0 if it needs all. */
  long excess(JobRequest job) {
    GangShape requested = job.shape();
    long adjacencyExcess = requested.adjacency() == shape.adjacency() ? 0 : 1;
    long coresExcess = (long) shape.perTask().cores() - requested.perTask().cores();
    long memoryExcessMegabytes =
        (long) shape.perTask().memoryMegabytes() - requested.perTask().memoryMegabytes();
    // Adjacency is scarcest, then cores; a gigabyte of memory counts as a quarter of a core.
    return (adjacencyExcess << 52) + (coresExcess << 16) + memoryExcessMegabytes * 16;
  }
}
