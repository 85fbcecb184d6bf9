package org.hickoryspar.node.dispatch;

/**
 * Generates the fencing tokens of dispatch sessions. A token is higher than all tokens of earlier
 * terms and of earlier sessions in the same term, so that a minion that has seen it rejects late
 * orders of those sessions. Not thread-safe.
 */
final class FencingTokens {

  // Leaves 33 bits for the term: JSON numbers represent integers of up to 53 bits exactly.
  private static final int SESSION_BITS = 20;
  private static final long MAX_SESSIONS_PER_TERM = 1L << SESSION_BITS;

  private long term;
  private long sessionCount;

  /**
   * Returns the token of a new session.
   *
   * @param currentTerm term of the session
   * @return the token
   * @throws IllegalArgumentException if the term is lower than in the previous call
   * @throws IllegalStateException if the tokens of the term are exhausted
   */
  long next(long currentTerm) {
    if (currentTerm < term) {
      throw new IllegalArgumentException(
          "term " + currentTerm + " is lower than the previous term " + term);
    }
    if (currentTerm > term) {
      term = currentTerm;
      sessionCount = 0;
    }
    if (sessionCount == MAX_SESSIONS_PER_TERM) {
      throw new IllegalStateException("fencing tokens exhausted in term " + term);
    }
    return (term << SESSION_BITS) + sessionCount++;
  }
}
