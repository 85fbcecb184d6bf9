package org.hickoryspar.node.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.node.http.KeepAlive;

/** Writes the responses that the entry creates itself. */
final class Responses {

  static final String OUTCOME = "Hickoryspar-Outcome";
  static final String REQUEST_ID = "Hickoryspar-Request-Id";
  static final String JSON = "application/json";
  static final ObjectMapper MAPPER = new ObjectMapper();

  private Responses() {}

  /** Sends an error as JSON with its outcome, code and message. */
  static void sendError(
      Response response,
      Callback callback,
      int status,
      String outcome,
      String code,
      String message) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("outcome", outcome).put("code", code).put("message", message);
    response.getHeaders().put(OUTCOME, outcome);
    sendJson(response, callback, status, toBytes(body));
  }

  /** Sends a JSON body; closes the connection if the request body is incomplete. */
  static void sendJson(Response response, Callback callback, int status, byte[] body) {
    KeepAlive.closeUnlessBodyConsumed(response);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Sends a text body; closes the connection if the request body is incomplete. */
  static void sendText(
      Response response, Callback callback, int status, String contentType, String body) {
    KeepAlive.closeUnlessBodyConsumed(response);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
  }

  static byte[] toBytes(ObjectNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }
}
