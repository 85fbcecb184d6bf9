package org.hickoryspar.bench.workflow;

/** Kinds of faults that a run may have. */
enum Fault {
  /** The leader is lost; another one follows after a second. */
  LEADER_LOST,
  /** Minions cannot be reached and run on. */
  MINIONS_CUT,
  /** Minions crash and start again. */
  MINIONS_CRASH,
  /** Minions are gone for good, and others come. */
  MINIONS_VANISH,
  /** Minions fail all that they start. */
  MINIONS_FAIL,
  /** Tasks on some minions stand still. */
  MINIONS_HANG,
  /** Minions become slow. */
  MINIONS_SLOW,
  /** Orders get no answer and are carried out seconds later. */
  ORDERS_LATE,
  /** Answers to orders are lost. */
  ANSWERS_LOST,
  /** Minions drain and leave. */
  MINIONS_LEAVE
}
