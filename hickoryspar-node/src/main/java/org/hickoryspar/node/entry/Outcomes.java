package org.hickoryspar.node.entry;

import com.google.protobuf.ByteString;
import org.eclipse.jetty.http.HttpHeader;
import org.hickoryspar.protocol.Outcome;

/** The four outcomes and their records. */
final class Outcomes {

  static final String ANSWERED = "answered";
  static final String MINION_FAILED = "minion-failed";
  static final String NOT_RUN = "not-run";
  static final String UNKNOWN = "unknown";

  private Outcomes() {}

  /** Returns the record of an outcome without an answer. */
  static Outcome of(Outcome.Kind kind, int httpStatus) {
    return Outcome.newBuilder().setKind(kind).setHttpStatus(httpStatus).build();
  }

  /** Returns the record of a whole answer; a body that was streamed is not kept. */
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
