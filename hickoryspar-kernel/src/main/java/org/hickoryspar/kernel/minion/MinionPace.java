package org.hickoryspar.kernel.minion;

/** The verdict on how fast a minion works. */
public enum MinionPace {
  /** As fast as the others of its service, or not known to be slower. */
  NORMAL,
  /** Clearly slower than the others of its service. */
  SLOW
}
