package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** One guaranteed shape of one team, and where the plan forms it. */
final class GuaranteeState {

  private final String team;
  private final GangShape shape;
  private int @Nullable [] plan;
  private @Nullable String holder;

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
  int @Nullable [] plan() {
    return plan;
  }

  void setPlan(int @Nullable [] plan) {
    this.plan = plan;
  }

  /** Returns the job that uses or claims the guarantee, or null. */
  @Nullable String holder() {
    return holder;
  }

  void setHolder(@Nullable String holder) {
    this.holder = holder;
  }

  /** Returns whether no job uses or claims the guarantee. */
  boolean isIdle() {
    return holder == null;
  }

  /** Returns the accelerators of the whole shape. */
  int accelerators() {
    return shape.tasks() * shape.perTask().accelerators();
  }

  /** Returns whether a job asks for what is guaranteed, so that it may take the guarantee. */
  boolean matches(JobRequest job) {
    GangShape asked = job.shape();
    boolean weaker =
        asked.adjacency() == Adjacency.NONE
            || asked.adjacency() == shape.adjacency()
            || shape.adjacency() == Adjacency.WORKER;
    return team.equals(job.team())
        && weaker
        && asked.tasks() == shape.tasks()
        && asked.perTask().accelerators() == shape.perTask().accelerators()
        && asked.perTask().fitsIn(shape.perTask());
  }

  /** Returns how much more the guarantee gives than a matching job asks for; 0 if it is equal. */
  long excess(JobRequest job) {
    GangShape asked = job.shape();
    long stricter = asked.adjacency() == shape.adjacency() ? 0 : 1;
    long cores = (long) shape.perTask().cores() - asked.perTask().cores();
    long memory = (long) shape.perTask().memoryMegabytes() - asked.perTask().memoryMegabytes();
    // Adjacency is the scarcest, then cores; a gigabyte weighs a quarter of a core.
    return (stricter << 52) + (cores << 16) + memory * 16;
  }
}
