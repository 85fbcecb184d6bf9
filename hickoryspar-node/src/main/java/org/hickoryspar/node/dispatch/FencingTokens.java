package org.hickoryspar.node.dispatch;

/**
 * Numbers the sessions of a leader. A token is higher than all of earlier terms and of earlier
 * sessions of the same term. A minion that has seen it refuses the orders of those sessions, which
 * may arrive late. Used by one thread.
 */
final class FencingTokens {

  // Terms of up to 33 bits then fit the integers that JSON numbers carry exactly.
  private static final int SESSION_BITS = 20;
  private static final long MAX_SESSIONS_PER_TERM = 1L << SESSION_BITS;

  private long term;
  private long sessionCount;

  /**
   * Returns the token of a new session.
   *
   * @param currentTerm the term in which the session decides; never lower than in the last call
   * @return the token
   */
  long next(long currentTerm) {
    if (currentTerm < term) {
      throw new IllegalArgumentException("term " + currentTerm + " comes after term " + term);
    }
    if (currentTerm > term) {
      term = currentTerm;
      sessionCount = 0;
    }
    if (sessionCount == MAX_SESSIONS_PER_TERM) {
      throw new IllegalStateException("no token is left in term " + term);
    }
    return (term << SESSION_BITS) + sessionCount++;
  }
}
