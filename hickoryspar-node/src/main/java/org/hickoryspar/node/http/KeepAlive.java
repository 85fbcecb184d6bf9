package org.hickoryspar.node.http;

import static java.util.Objects.requireNonNull;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;

/** Whether a connection can be used again after an answer. */
public final class KeepAlive {

  private KeepAlive() {}

  /**
   * Announces the end of the connection if the body of the request has not arrived in full. Called
   * before an answer is written that does not depend on the body: the rest of the body could not be
   * told from the next request, so the connection ends, and a client that is not told so would send
   * its next request into it.
   *
   * @param response the response that is about to be written
   */
  public static void closeUnlessBodyConsumed(Response response) {
    requireNonNull(response, "response is null");
    if (!response.getRequest().consumeAvailable()) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
  }
}
