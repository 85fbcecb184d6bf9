package org.hickoryspar.standins.minion;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Faults of a stand-in minion; the body of {@code POST /faults}. A missing member is off.
 *
 * @param dieHalfway the process ends after half of an answer has been sent
 * @param breakHalfway the connection, but not the process, ends after half of an answer
 * @param lateMillis each answer is late by this time
 * @param answerTwice each answer is sent twice on the same connection
 * @param wrongRequestId each answer carries the id of another request
 * @param neverAnswer requests are run and never answered
 * @param refuseAll requests are refused without being run
 * @param swallowExisting requests on connections that existed when the fault was switched on are
 *     neither run nor answered
 * @param failStatus status of each answer after the run, 0 for 200
 * @param answerBytes size of each answer, 0 for an echo of the request body
 */
@JsonIgnoreProperties(ignoreUnknown = false)
public record Faults(
    boolean dieHalfway,
    boolean breakHalfway,
    long lateMillis,
    boolean answerTwice,
    boolean wrongRequestId,
    boolean neverAnswer,
    boolean refuseAll,
    boolean swallowExisting,
    int failStatus,
    long answerBytes) {

  /** No fault. */
  public static final Faults NONE =
      new Faults(false, false, 0, false, false, false, false, false, 0, 0);
}
