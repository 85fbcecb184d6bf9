package org.hickoryspar.standins.minion;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Announces a minion periodically, so that its endpoint does not expire.
 *
 * <p>Each announcement goes to one entry, the next in turn.
 */
final class Announcer implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final MinionOptions options;
  private final int port;
  private final HttpClient client;
  private final AtomicLong sequence = new AtomicLong();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

  Announcer(MinionOptions options, int port, HttpClient client) {
    this.options = options;
    this.port = port;
    this.client = client;
  }

  void start() {
    long periodMillis = Math.max(100, options.ttlMillis() / 3);
    var unused =
        timer.scheduleWithFixedDelay(this::announce, 0, periodMillis, TimeUnit.MILLISECONDS);
  }

  CompletableFuture<Integer> leave() {
    timer.shutdownNow();
    return send("leave");
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }

  private void announce() {
    var unused =
        send("announce")
            .whenComplete(
                (status, failure) -> {
                  if (failure != null || status != 200) {
                    EventLogger.log(
                        MinionEvent.ANNOUNCE_FAILED,
                        options.entries(),
                        failure == null ? status : failure.getMessage());
                  }
                });
  }

  private CompletableFuture<Integer> send(String operation) {
    long sequenceNumber = sequence.incrementAndGet();
    List<String> entries = options.entries();
    CompletableFuture<Integer> future = new CompletableFuture<>();
    if (entries.isEmpty()) {
      future.complete(200);
      return future;
    }
    // Rotates over the entries, so that the endpoint does not expire when one of them is down.
    String entry = entries.get((int) (sequenceNumber % entries.size()));
    client
        .POST("http://" + entry + "/v1/endpoints/" + operation)
        .headers(headers -> headers.put("Authorization", "Bearer " + options.token()))
        .body(new StringRequestContent("application/json", requestBody(sequenceNumber)))
        .timeout(2, TimeUnit.SECONDS)
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  future.completeExceptionally(result.getFailure());
                } else {
                  future.complete(result.getResponse().getStatus());
                }
              }
            });
    return future;
  }

  private String requestBody(long sequenceNumber) {
    ObjectNode json = MAPPER.createObjectNode();
    json.put("service", options.service())
        .put("minionId", options.id())
        .put("address", options.host() + ":" + port)
        .put("dataCentre", options.dataCentre())
        .put("incarnation", options.incarnation())
        .put("sequence", sequenceNumber)
        .put("slots", options.slots())
        .put("connections", options.connections())
        .put("ttlMillis", options.ttlMillis());
    return json.toString();
  }
}
