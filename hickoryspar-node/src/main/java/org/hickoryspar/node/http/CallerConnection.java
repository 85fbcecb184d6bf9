package org.hickoryspar.node.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Tells whether the sender of a request still waits for the response. The server itself learns that
 * a connection was closed only when it reads the next request.
 */
public final class CallerConnection {

  private final EndPoint endPoint;
  private final Response response;

  private CallerConnection(EndPoint endPoint, Response response) {
    this.endPoint = endPoint;
    this.response = response;
  }

  /**
   * Returns the connection of a request whose body was received in full.
   *
   * @param request the request
   * @param response its response, which is not yet committed
   * @return the connection
   */
  public static CallerConnection of(Request request, Response response) {
    requireNonNull(request, "request is null");
    requireNonNull(response, "response is null");
    return new CallerConnection(
        request.getConnectionMetaData().getConnection().getEndPoint(), response);
  }

  /**
   * Reads from the connection without blocking. A byte of a next request, which the caller sent
   * before this one was answered, cannot be put back: the connection is then closed after the
   * response.
   *
   * @return false if the caller has closed the connection or its sending side, or it was reset
   */
  public boolean isOpen() {
    if (!endPoint.isOpen() || endPoint.isInputShutdown()) {
      return false;
    }
    try {
      ByteBuffer next = BufferUtil.allocate(1);
      int count = endPoint.fill(next);
      if (count > 0) {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
      }
      return count >= 0;
    } catch (IOException e) {
      return false;
    }
  }
}
