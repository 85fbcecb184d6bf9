package org.hickoryspar.node.dispatch;

import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.Envelope;

/** Is told how each call to the leader ended, for the log and the metrics. */
@FunctionalInterface
public interface CallListener {

  /**
   * Takes note of the end of a call; must not block.
   *
   * @param call the call
   * @param result the answer, or why there is none
   * @param summary how it came to the result
   */
  void onCallEnded(Envelope call, Result<Envelope> result, CallSummary summary);

  /**
   * How a call came to its result.
   *
   * @param attempts how often it was sent, or could not be sent
   * @param lastProblem why the attempt before the last one failed, empty if there was none
   * @param leader the leader that the last attempt was meant for, empty if none was known
   * @param term the term of that leader
   * @param durationMillis time from the call to its result
   */
  record CallSummary(
      int attempts, String lastProblem, String leader, long term, long durationMillis) {}
}
