package org.hickoryspar.standins.minion;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Faults that a stub minion injects; the JSON body of {@code POST /faults}. A member that is
 * missing is false or 0.
 *
 * @param dieHalfway terminates the process after half of a response body has been sent
 * @param breakHalfway closes the connection, but leaves the process running, after half of a
 *     response body has been sent
 * @param lateMillis delay of each response
 * @param answerTwice sends each response twice on the same connection
 * @param wrongRequestId sets the id of another request in each response
 * @param neverAnswer runs requests without responding to them
 * @param refuseAll rejects requests with status 503 without running them
 * @param swallowExisting ignores requests on the connections that were open when the fault was set:
 *     they are neither run nor responded to; {@code POST /faults} is still handled
 * @param failStatus status of each response after the run, 0 for 200
 * @param answerBytes size of each response body, 0 to echo the request body
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

  /** Injects no faults. */
  public static final Faults NONE =
      new Faults(false, false, 0, false, false, false, false, false, 0, 0);
}
