package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * The resources of a whole gang: a number of equal tasks and their adjacency.
 *
 * @param tasks number of tasks, at least 1
 * @param perTask resources of each task
 * @param adjacency how close together the tasks must run
 */
public record GangShape(int tasks, ResourceVector perTask, Adjacency adjacency) {

  /**
   * Rejects null components and gangs without tasks.
   *
   * @throws NullPointerException if a component is null
   * @throws IllegalArgumentException if {@code tasks} is less than 1
   */
  public GangShape {
    requireNonNull(perTask, "perTask is null");
    requireNonNull(adjacency, "adjacency is null");
    if (tasks < 1) {
      throw new IllegalArgumentException("a gang needs at least 1 task, found " + tasks);
    }
  }
}
