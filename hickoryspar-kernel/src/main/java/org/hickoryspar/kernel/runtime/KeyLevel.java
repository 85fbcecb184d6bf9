package org.hickoryspar.kernel.runtime;

/** The keys by which runs are compared, from general to special. */
public enum KeyLevel {
  /** No run is known; the declared time is all there is. */
  DECLARED,
  /** Runs of the same queue. */
  QUEUE,
  /** Those of them that are single tasks, or gangs of about the same size. */
  SIZE,
  /** Those of them that have the same image and demand. */
  WORK,
  /** Those of them that belong to the same team. */
  TEAM;

  /** The levels at which finished runs are counted, general ones first. */
  static final KeyLevel[] LEARNED = {QUEUE, SIZE, WORK, TEAM};
}
