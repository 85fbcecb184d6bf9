package org.hickoryspar.bench.workflow;

/** Kinds of faults that a simulation injects. */
enum Fault {
  /** The leader fails; its successor starts about a second later. */
  LEADER_LOST,
  /** Minions are unreachable but continue to run. */
  MINIONS_CUT,
  /** Minions crash and restart. */
  MINIONS_CRASH,
  /** Minions crash for good, and new ones replace them. */
  MINIONS_VANISH,
  /** Minions fail all their tasks. */
  MINIONS_FAIL,
  /** Tasks on some minions make no progress. */
  MINIONS_HANG,
  /** Tasks on some minions run slowly. */
  MINIONS_SLOW,
  /** Orders get no response and take effect seconds later. */
  ORDERS_LATE,
  /** Responses to orders are lost. */
  ANSWERS_LOST,
  /** Minions drain and leave. */
  MINIONS_LEAVE
}
