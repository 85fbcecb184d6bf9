package org.hickoryspar.node.entry;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.protocol.Endpoint;

/** Forwards a request to a minion. */
final class RequestForwarder {

  private final EndpointTable table;
  private final HttpClient client;
  private final LongSupplier monotonicMillis;

  RequestForwarder(EndpointTable table, HttpClient client, LongSupplier monotonicMillis) {
    this.table = table;
    this.client = client;
    this.monotonicMillis = monotonicMillis;
  }

  void serve(
      String team, String service, Request request, byte[] body, Response response, Callback done) {
    List<Endpoint> live = table.live(service, monotonicMillis.getAsLong());
    if (live.isEmpty()) {
      Replies.error(response, done, 503, "not-run", "no-minion", "no minion serves " + service);
      return;
    }
    Endpoint minion = live.get(ThreadLocalRandom.current().nextInt(live.size()));
    String id = UUID.randomUUID().toString();
    String key = request.getHeaders().get("Idempotency-Key");
    response.getHeaders().put(Replies.REQUEST_ID, id);
    client
        .POST("http://" + minion.getAddress() + "/run/" + service)
        .body(new BytesRequestContent(body))
        .headers(
            h ->
                h.put(Replies.REQUEST_ID, id)
                    .put("Idempotency-Key", key == null ? id : key)
                    .put("Hickoryspar-Team", team))
        .timeout(30, TimeUnit.SECONDS)
        .send(
            new BufferingResponseListener(64 * 1024 * 1024) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  Replies.error(response, done, 504, "unknown", "minion-lost", "no whole answer");
                } else {
                  response.setStatus(result.getResponse().getStatus());
                  response.getHeaders().put(Replies.OUTCOME, "answered");
                  response.write(true, ByteBuffer.wrap(getContent()), done);
                }
              }
            });
  }
}
