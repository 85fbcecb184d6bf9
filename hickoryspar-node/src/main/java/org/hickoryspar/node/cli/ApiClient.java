package org.hickoryspar.node.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.util.component.LifeCycle;
import org.jspecify.annotations.Nullable;

/** A client of the HTTP interface of an entry or control daemon. */
final class ApiClient implements AutoCloseable {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private final HttpClient http;
  private final URI server;
  private final String token;
  private final long timeoutMillis;

  /**
   * Starts a client.
   *
   * @param server address of the server, for example {@code http://127.0.0.1:8080}
   * @param token token of the caller, blank for none
   * @param timeoutMillis timeout of a connection attempt, and of a request
   * @throws Exception if the client cannot start
   */
  ApiClient(URI server, String token, long timeoutMillis) throws Exception {
    this.server = server;
    this.token = token;
    this.timeoutMillis = timeoutMillis;
    this.http = new HttpClient();
    http.setFollowRedirects(false);
    http.setConnectTimeout(timeoutMillis);
    http.start();
    // Without this, Jetty turns a 401 without WWW-Authenticate into a failure without status.
    http.getProtocolHandlers().clear();
  }

  /**
   * Sends a request and waits for the response.
   *
   * @param method the method
   * @param path path and query, escaped
   * @param headers additional headers
   * @param body the body as JSON, or null
   * @return the result, also if there is no response
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  ApiResult send(String method, String path, Map<String, String> headers, @Nullable JsonNode body)
      throws InterruptedException {
    AtomicBoolean requestBegun = new AtomicBoolean();
    Request request =
        http.newRequest(server.resolve(path))
            .method(method)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .onRequestBegin(ignored -> requestBegun.set(true));
    request.headers(
        fields -> {
          headers.forEach(fields::put);
          if (!token.isBlank()) {
            fields.put("Authorization", "Bearer " + token);
          }
        });
    if (body != null) {
      request.body(new StringRequestContent("application/json", body.toString()));
    }
    try {
      return parseResponse(request.send());
    } catch (ExecutionException | TimeoutException e) {
      Throwable cause = e instanceof ExecutionException && e.getCause() != null ? e.getCause() : e;
      boolean mayHaveRun = requestBegun.get() && !"GET".equals(method);
      return ApiResult.withoutResponse(mayHaveRun, server + " did not respond: " + cause);
    }
  }

  private static ApiResult parseResponse(ContentResponse response) {
    String text = response.getContentAsString();
    try {
      JsonNode body =
          text == null || text.isBlank()
              ? JsonNodeFactory.instance.objectNode()
              : MAPPER.readTree(text);
      return ApiResult.of(response.getStatus(), body);
    } catch (JsonProcessingException e) {
      return ApiResult.malformed(response.getStatus(), "expected JSON, found: " + text);
    }
  }

  @Override
  public void close() {
    LifeCycle.stop(http);
  }
}
