package org.hickoryspar.node.entry;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpHeader;
import org.hickoryspar.protocol.Outcome;

/** Names of the outcomes of a request and conversion to their messages. */
final class Outcomes {

  static final String ANSWERED = "answered";
  static final String MINION_FAILED = "minion-failed";
  static final String NOT_RUN = "not-run";
  static final String UNKNOWN = "unknown";

  private Outcomes() {}

  /** Returns the outcome of a request without a response of a minion. */
  static Outcome of(Outcome.Kind kind, int httpStatus) {
    return Outcome.newBuilder().setKind(kind).setHttpStatus(httpStatus).build();
  }

  /** Returns the outcome of a request with a complete response; omits a body that was streamed. */
  static Outcome of(ResponseRelay relay) {
    String contentType = relay.minionResponse().getHeaders().get(HttpHeader.CONTENT_TYPE);
    Outcome.Builder outcome =
        Outcome.newBuilder()
            .setKind(
                relay.outcome().equals(ANSWERED)
                    ? Outcome.Kind.ANSWERED
                    : Outcome.Kind.MINION_FAILED)
            .setHttpStatus(relay.minionResponse().getStatus())
            .setContentType(contentType == null ? "" : contentType);
    if (relay.isStreaming()) {
      return outcome.setBodyDropped(true).build();
    }
    return outcome.setBody(ByteString.copyFrom(relay.bufferedBytes())).build();
  }

  static String name(Outcome.Kind kind) {
    return switch (kind) {
      case ANSWERED -> ANSWERED;
      case MINION_FAILED -> MINION_FAILED;
      case NOT_RUN -> NOT_RUN;
      default -> UNKNOWN;
    };
  }
}
