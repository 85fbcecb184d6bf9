package org.hickoryspar.kernel.membership;

/** Makes changes of the voters in the replicated log. */
public interface VoterChanger {

  /**
   * Starts a change.
   *
   * @param change the change
   * @return the change in progress
   */
  PendingChange start(VoterChange change);

  /** A change in progress. */
  @FunctionalInterface
  interface PendingChange {

    /**
     * Returns whether the change has ended, with or without success.
     *
     * @return true once another change may be started
     */
    boolean isEnded();
  }
}
