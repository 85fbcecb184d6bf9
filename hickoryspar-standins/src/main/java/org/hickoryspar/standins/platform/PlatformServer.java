package org.hickoryspar.standins.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.platform.Platform;

/**
 * Serves a simulated platform over HTTP, with the interface that {@link
 * org.hickoryspar.node.platform.HttpPlatform} calls.
 *
 * <p>Adds {@code GET /history}, which lists the tasks, and {@code POST /faults}, which replaces the
 * injected faults.
 */
public final class PlatformServer implements AutoCloseable {

  private static final int HTTP_OK = 200;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_CONFLICT = 409;
  private static final String LEASE_PATH_PREFIX = "/v1/leases/";

  private final SimulatedPlatform platform;
  private final ObjectMapper json;
  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server);

  /**
   * Creates a server that does not listen yet.
   *
   * @param platform platform that executes the calls
   * @param json mapper of the request and response bodies
   * @param address address to bind; port 0 selects a free port
   */
  public PlatformServer(SimulatedPlatform platform, ObjectMapper json, InetSocketAddress address) {
    this.platform = requireNonNull(platform, "platform is null");
    this.json = requireNonNull(json, "json is null");
    connector.setHost(address.getAddress().getHostAddress());
    connector.setPort(address.getPort());
    server.addConnector(connector);
    server.setHandler(new PlatformHandler());
  }

  /**
   * Starts to listen.
   *
   * @return the bound port
   * @throws Exception if the address cannot be bound
   */
  public int start() throws Exception {
    server.start();
    return connector.getLocalPort();
  }

  @Override
  public void close() throws IOException {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IOException("cannot stop the HTTP server", e);
    }
  }

  private Result<? extends Object> dispatch(String method, String path, JsonNode body) {
    if (path.equals("/v1/workers")) {
      return platform.inventory().map(this::inventoryJson);
    }
    if (path.equals("/v1/usage")) {
      return platform.usage();
    }
    if (path.equals("/history")) {
      return Result.success(platform.history());
    }
    if (path.equals("/faults") && method.equals("POST")) {
      return replaceFaults(body);
    }
    if (path.equals("/v1/renewals")) {
      List<String> leaseIds = new ArrayList<>();
      body.path("leaseIds").forEach(id -> leaseIds.add(id.asText()));
      return platform.renew(
          leaseIds, body.path("fencingToken").asLong(), body.path("leaseMillis").asLong());
    }
    int operationSlash = path.lastIndexOf('/');
    if (!path.startsWith(LEASE_PATH_PREFIX) || operationSlash < LEASE_PATH_PREFIX.length()) {
      return Result.failure("not-found", path);
    }
    return handleLeaseOperation(
        path.substring(LEASE_PATH_PREFIX.length(), operationSlash),
        path.substring(operationSlash + 1),
        body);
  }

  private Result<String> handleLeaseOperation(String leaseId, String operation, JsonNode body) {
    long fencingToken = body.path("fencingToken").asLong();
    return switch (operation) {
      case "prepare" -> platform.prepare(prepareRequest(leaseId, body));
      case "start" -> platform.start(leaseId, fencingToken);
      case "checkpoint" -> platform.checkpoint(leaseId, fencingToken);
      case "throttle" -> platform.throttle(leaseId, fencingToken, body.path("percent").asInt());
      case "stop" -> platform.stop(leaseId, fencingToken);
      default -> Result.failure("not-found", operation);
    };
  }

  private static Platform.PrepareRequest prepareRequest(String leaseId, JsonNode body) {
    return new Platform.PrepareRequest(
        leaseId,
        body.path("jobId").asText(),
        body.path("task").asInt(),
        body.path("workerId").asText(),
        new ResourceVector(
            body.path("cores").asInt(),
            body.path("memoryMegabytes").asInt(),
            body.path("accelerators").asInt()),
        body.path("fencingToken").asLong(),
        body.path("leaseMillis").asLong(),
        body.path("startBeforeMillis").asLong(),
        body.path("runHintMillis").asLong());
  }

  private Result<PlatformFaults> replaceFaults(JsonNode body) {
    try {
      PlatformFaults faults = json.treeToValue(body, PlatformFaults.class);
      platform.setFaults(faults);
      return Result.success(faults);
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      return Result.failure("malformed", e.getOriginalMessage());
    }
  }

  private ArrayNode inventoryJson(List<WorkerState> workers) {
    ArrayNode rows = json.createArrayNode();
    for (WorkerState worker : workers) {
      ObjectNode row = rows.addObject();
      row.put("id", worker.workerId())
          .put("rack", worker.rack())
          .put("dataCentre", worker.dataCentre())
          .put("cores", worker.capacity().cores())
          .put("memoryMegabytes", worker.capacity().memoryMegabytes())
          .put("accelerators", worker.capacity().accelerators())
          .put("available", worker.available());
    }
    return rows;
  }

  private final class PlatformHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      String text = Content.Source.asString(request, StandardCharsets.UTF_8);
      JsonNode body = text.isEmpty() ? json.createObjectNode() : json.readTree(text);
      delayCall();
      Result<? extends Object> result =
          PlatformServer.this.dispatch(
              request.getMethod(), Request.getPathInContext(request), body);
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
      response.setStatus(
          result.fold(
              problem -> problem.code().equals("not-found") ? HTTP_NOT_FOUND : HTTP_CONFLICT,
              value -> HTTP_OK));
      Object responseBody = result.fold(problem -> problem, value -> value);
      Content.Sink.write(response, true, json.writeValueAsString(responseBody), callback);
      return true;
    }

    private void delayCall() {
      long delayMillis = platform.faults().callDelayMillis();
      if (delayMillis > 0) {
        LockSupport.parkNanos(delayMillis * 1_000_000);
      }
    }
  }
}
