package org.hickoryspar.node.dispatch;

import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.Envelope;

/** Receives the result of each call to the leader, for logs and metrics. */
@FunctionalInterface
public interface CallListener {

  /**
   * Handles the end of a call. Called on any thread; must not block.
   *
   * @param call the call
   * @param result the response, or the problem that ended the call
   * @param summary the attempts and the duration of the call
   */
  void onCallEnded(Envelope call, Result<Envelope> result, CallSummary summary);

  /**
   * The attempts and the duration of a call.
   *
   * @param attempts number of attempts, including those that could not be sent
   * @param lastProblem message of the last problem after which the call was retried, empty if there
   *     was none
   * @param leader instance of the leader that the last attempt was addressed to, empty if no leader
   *     was known
   * @param term term of that leader
   * @param durationMillis time from the call to its result
   */
  record CallSummary(
      int attempts, String lastProblem, String leader, long term, long durationMillis) {}
}
