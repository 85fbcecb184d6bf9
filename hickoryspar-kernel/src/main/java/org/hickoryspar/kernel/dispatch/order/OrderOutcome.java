package org.hickoryspar.kernel.dispatch.order;

/** The result of an order to a minion. */
public enum OrderOutcome {
  /** The order has taken effect, now or earlier. */
  DONE,
  /** The run is not newer than one that has been stopped or has ended on the minion. */
  OUTDATED_RUN,
  /** The order arrived after its deadline. */
  TOO_LATE,
  /** The minion lacks free resources. */
  NO_ROOM,
  /** The minion has seen a higher fencing token. */
  FENCED,
  /** The ticket is missing or has expired. */
  NO_TICKET,
  /** The minion rejected the order as malformed. */
  INVALID,
  /** The minion is unhealthy or overloaded and did not carry out the order. */
  UNHEALTHY,
  /** Another minion responds at the address. */
  OTHER_MINION,
  /** There is no response; the order may have taken effect, or may still do so. */
  UNKNOWN
}
