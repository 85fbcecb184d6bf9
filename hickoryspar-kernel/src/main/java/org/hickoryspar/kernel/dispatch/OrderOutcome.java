package org.hickoryspar.kernel.dispatch;

/** What a minion said to an order. */
public enum OrderOutcome {
  /** The order is carried out, or was before. */
  DONE,
  /** The run is not newer than one that was stopped or ended there. */
  OUTDATED_RUN,
  /** The deadline of the order had passed. */
  TOO_LATE,
  /** The minion has no room. */
  NO_ROOM,
  /** The minion has seen a newer leader. */
  FENCED,
  /** The ticket is missing or no longer valid. */
  NO_TICKET,
  /** The minion did not understand the order. */
  INVALID,
  /** The minion is unwell and did nothing. */
  UNHEALTHY,
  /** Another minion answers at the address. */
  OTHER_MINION,
  /** No answer: the order may be carried out, now or later. */
  UNKNOWN
}
