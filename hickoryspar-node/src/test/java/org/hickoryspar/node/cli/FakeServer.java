package org.hickoryspar.node.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.LifeCycle;

/** An HTTP server that returns stub responses and records the requests. */
final class FakeServer implements AutoCloseable {

  /** A stub response; with status 0 the server closes the connection without a response. */
  record StubResponse(int status, String body) {}

  /** A received request; a missing header is the text {@code null}. */
  record ReceivedRequest(
      String method, String path, String token, String idempotencyKey, String body) {}

  private final Map<String, StubResponse> stubs = new ConcurrentHashMap<>();
  private final List<ReceivedRequest> receivedRequests =
      Collections.synchronizedList(new ArrayList<>());
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);

  FakeServer() throws Exception {
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            return respond(request, response, callback);
          }
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + connector.getLocalPort();
  }

  void stub(String methodAndPath, int status, String body) {
    stubs.put(methodAndPath, new StubResponse(status, body.replace('\'', '"')));
  }

  void reset() {
    stubs.clear();
    receivedRequests.clear();
  }

  List<ReceivedRequest> receivedRequests() {
    return List.copyOf(receivedRequests);
  }

  private boolean respond(Request request, Response response, Callback callback) throws Exception {
    String path = request.getHttpURI().getPathQuery();
    receivedRequests.add(
        new ReceivedRequest(
            request.getMethod(),
            path,
            String.valueOf(request.getHeaders().get(HttpHeader.AUTHORIZATION)),
            String.valueOf(request.getHeaders().get("Idempotency-Key")),
            Content.Source.asString(request, StandardCharsets.UTF_8)));
    StubResponse stub =
        stubs.getOrDefault(
            request.getMethod() + " " + path,
            new StubResponse(404, "{\"code\":\"not-found\",\"message\":\"nothing here\"}"));
    if (stub.status() == 0) {
      request.getConnectionMetaData().getConnection().close();
      callback.failed(new IllegalStateException("closed by the test"));
      return true;
    }
    response.setStatus(stub.status());
    Content.Sink.write(response, true, stub.body(), callback);
    return true;
  }

  @Override
  public void close() {
    LifeCycle.stop(server);
  }
}
