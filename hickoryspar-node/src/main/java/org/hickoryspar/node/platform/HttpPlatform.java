package org.hickoryspar.node.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;
import org.jspecify.annotations.Nullable;

/** Calls the platform through its HTTP interface. */
public final class HttpPlatform implements Platform {

  private static final int HTTP_OK = 200;

  private final HttpClient client;
  private final ObjectMapper mapper;
  private final String baseUrl;
  private final long timeoutMillis;

  /**
   * Creates a client; the HTTP client is started and stopped by the caller.
   *
   * @param client the HTTP client
   * @param mapper parses and creates JSON
   * @param baseUrl URL of the platform without a trailing slash
   * @param timeoutMillis time after which a call fails with {@code "unreachable"}
   */
  public HttpPlatform(HttpClient client, ObjectMapper mapper, String baseUrl, long timeoutMillis) {
    this.client = requireNonNull(client, "client is null");
    this.mapper = requireNonNull(mapper, "mapper is null");
    this.baseUrl = requireNonNull(baseUrl, "baseUrl is null");
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public Result<List<WorkerState>> inventory() {
    return call(HttpMethod.GET, "/v1/workers", null)
        .flatMap(body -> parseList(body, this::parseWorker));
  }

  @Override
  public Result<String> prepare(PrepareRequest request) {
    requireNonNull(request, "request is null");
    ObjectNode body =
        mapper
            .createObjectNode()
            .put("jobId", request.jobId())
            .put("task", request.task())
            .put("workerId", request.workerId())
            .put("cores", request.resources().cores())
            .put("memoryMegabytes", request.resources().memoryMegabytes())
            .put("accelerators", request.resources().accelerators())
            .put("fencingToken", request.fencingToken())
            .put("leaseMillis", request.leaseMillis())
            .put("startBeforeMillis", request.startBeforeMillis())
            .put("runHintMillis", request.runHintMillis());
    return sendLeaseOperation(request.leaseId(), "prepare", body);
  }

  @Override
  public Result<String> start(String leaseId, long fencingToken) {
    return sendLeaseOperation(leaseId, "start", newTokenBody(fencingToken));
  }

  @Override
  public Result<List<String>> renew(List<String> leaseIds, long fencingToken, long leaseMillis) {
    ObjectNode body = newTokenBody(fencingToken).put("leaseMillis", leaseMillis);
    leaseIds.forEach(body.putArray("leaseIds")::add);
    return call(HttpMethod.POST, "/v1/renewals", body)
        .flatMap(response -> parseList(response, JsonNode::asText));
  }

  @Override
  public Result<String> checkpoint(String leaseId, long fencingToken) {
    return sendLeaseOperation(leaseId, "checkpoint", newTokenBody(fencingToken));
  }

  @Override
  public Result<String> throttle(String leaseId, long fencingToken, int percent) {
    return sendLeaseOperation(
        leaseId, "throttle", newTokenBody(fencingToken).put("percent", percent));
  }

  @Override
  public Result<String> stop(String leaseId, long fencingToken) {
    return sendLeaseOperation(leaseId, "stop", newTokenBody(fencingToken));
  }

  @Override
  public Result<List<TaskReport>> usage() {
    return call(HttpMethod.GET, "/v1/usage", null)
        .flatMap(body -> parseList(body, this::parseReport));
  }

  private ObjectNode newTokenBody(long fencingToken) {
    return mapper.createObjectNode().put("fencingToken", fencingToken);
  }

  private Result<String> sendLeaseOperation(String leaseId, String operation, ObjectNode body) {
    requireNonNull(leaseId, "leaseId is null");
    return call(HttpMethod.POST, "/v1/leases/" + leaseId + "/" + operation, body)
        .map(response -> leaseId);
  }

  private Result<JsonNode> call(HttpMethod method, String path, @Nullable JsonNode body) {
    Request request =
        client
            .newRequest(baseUrl + path)
            .method(method)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    if (body != null) {
      request.body(new StringRequestContent("application/json", body.toString()));
    }
    try {
      ContentResponse response = request.send();
      JsonNode responseBody = mapper.readTree(response.getContentAsString());
      return response.getStatus() == HTTP_OK
          ? Result.success(responseBody)
          : Result.failure(
              responseBody.path("code").asText("unreachable"),
              responseBody.path("message").asText("status " + response.getStatus()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failure("unreachable", "interrupted");
    } catch (TimeoutException | ExecutionException | JsonProcessingException e) {
      return Result.failure("unreachable", path + ": " + e);
    }
  }

  private static <T> Result<List<T>> parseList(JsonNode body, Function<JsonNode, T> itemParser) {
    if (!body.isArray()) {
      return Result.failure("unreachable", "expected a JSON array from the platform");
    }
    List<T> items = new ArrayList<>(body.size());
    body.forEach(item -> items.add(itemParser.apply(item)));
    return Result.success(items);
  }

  private WorkerState parseWorker(JsonNode item) {
    return new WorkerState(
        item.path("id").asText(),
        item.path("rack").asText(),
        item.path("dataCentre").asText(),
        new ResourceVector(
            item.path("cores").asInt(),
            item.path("memoryMegabytes").asInt(),
            item.path("accelerators").asInt()),
        item.path("available").asBoolean());
  }

  private TaskReport parseReport(JsonNode item) {
    return new TaskReport(
        item.path("leaseId").asText(),
        item.path("workerId").asText(),
        item.path("state").asText(),
        item.path("coresPercent").asInt(),
        item.path("memoryMegabytes").asInt(),
        item.path("ageMillis").asLong());
  }
}
