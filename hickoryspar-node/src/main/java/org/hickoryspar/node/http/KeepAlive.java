package org.hickoryspar.node.http;

import static java.util.Objects.requireNonNull;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;

/** Decides whether a connection stays open after a response. */
public final class KeepAlive {

  private KeepAlive() {}

  /**
   * Adds {@code Connection: close} to a response if the request body has not been received in full.
   *
   * <p>Must be called before a response is written that does not depend on the body. The rest of
   * the body cannot be distinguished from the next request, so the server closes the connection;
   * without the header, a client would send its next request on it.
   *
   * @param response response that is not yet committed
   */
  public static void closeUnlessBodyConsumed(Response response) {
    requireNonNull(response, "response is null");
    if (!response.getRequest().consumeAvailable()) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    }
  }
}
