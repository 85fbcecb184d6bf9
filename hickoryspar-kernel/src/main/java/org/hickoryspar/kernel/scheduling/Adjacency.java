package org.hickoryspar.kernel.scheduling;

/** How close together the tasks of a gang must run. */
public enum Adjacency {
  /** Tasks may run on any workers. */
  NONE,
  /** All tasks run on one worker. */
  WORKER,
  /** All tasks run on workers of one rack. */
  RACK
}
