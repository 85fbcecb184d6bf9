package org.hickoryspar.node.entry;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.StatusCode;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.protocol.Outcome;

/** Gives each request its one answer, after the outcome of a claimed one has been recorded. */
final class CallEnds {

  /**
   * How long an answer waits for its record. A record that takes longer is completed later; until
   * then a second submission of the key is told that it is in progress.
   */
  private static final long MAX_RECORD_WAIT_MILLIS = 2_000;

  private static final long MIN_RECORD_WAIT_MILLIS = 200;

  private final Batches batches;
  private final EntryMetrics metrics;
  private final LongSupplier monotonicMillis;
  private final ScheduledExecutorService timer;
  private final Set<String> inProgress = ConcurrentHashMap.newKeySet();

  CallEnds(
      Batches batches,
      EntryMetrics metrics,
      LongSupplier monotonicMillis,
      ScheduledExecutorService timer) {
    this.batches = batches;
    this.metrics = metrics;
    this.monotonicMillis = monotonicMillis;
    this.timer = timer;
  }

  /** Marks a key as in use by a request here; false if another request uses it. */
  boolean begin(ServiceCall call) {
    if (call.order().idempotent()) {
      return true;
    }
    boolean added = inProgress.add(call.order().claimName());
    if (added) {
      call.markHoldsKey();
    }
    return added;
  }

  private void freeKey(ServiceCall call) {
    if (call.holdsKey()) {
      inProgress.remove(call.order().claimName());
    }
  }

  /** Ends a request of which nothing ran. */
  void notRun(ServiceCall call, int status, String code, String message) {
    error(call, Outcome.Kind.NOT_RUN, status, code, message);
  }

  /** Ends a request that may have run. */
  void unknown(ServiceCall call, String code, String message) {
    error(call, Outcome.Kind.UNKNOWN, 504, code, message);
  }

  private void error(ServiceCall call, Outcome.Kind kind, int status, String code, String message) {
    if (!call.settle()) {
      return;
    }
    recorded(
        call,
        Outcomes.of(kind, status),
        () -> {
          ended(call, Outcomes.name(kind), code);
          call.response().getHeaders().put(Replies.REQUEST_ID, call.order().requestId());
          Replies.error(
              call.response(), call.callback(), status, Outcomes.name(kind), code, message);
        });
  }

  /** Rejects a request whose key belongs to another one. */
  void conflict(ServiceCall call, String outcome, String code, String message) {
    if (call.settle()) {
      freeKey(call);
      ended(call, outcome, code);
      Replies.error(call.response(), call.callback(), 409, outcome, code, message);
    }
  }

  /** Gives a whole answer, or the end of one that has been streamed. */
  void answer(ServiceCall call, AnswerRelay relay) {
    if (!call.settle()) {
      return;
    }
    recorded(
        call,
        Outcomes.of(relay),
        () -> {
          ended(call, relay.outcome(), "");
          if (relay.isCallerGone()) {
            call.callback().failed(new IllegalStateException("the caller went away"));
          } else if (relay.isStreaming()) {
            call.response().write(true, ByteBuffer.allocate(0), call.callback());
          } else {
            relay.copyHead(call.response());
            call.response().write(true, ByteBuffer.wrap(relay.held()), call.callback());
          }
        });
  }

  /** Ends a request whose answer broke off; the caller's connection is closed. */
  void broken(ServiceCall call, String code) {
    if (!call.settle()) {
      return;
    }
    recorded(
        call,
        Outcomes.of(Outcome.Kind.UNKNOWN, 504),
        () -> {
          ended(call, Outcomes.UNKNOWN, code);
          call.callback().failed(new IllegalStateException(code));
        });
  }

  /** Gives the recorded answer of an earlier submission. */
  void replay(ServiceCall call, Outcome outcome) {
    if (!call.settle()) {
      return;
    }
    freeKey(call);
    String name = Outcomes.name(outcome.getKind());
    ended(call, name, "replayed");
    Response response = call.response();
    Callback callback = call.callback();
    if (name.equals(Outcomes.NOT_RUN)) {
      Replies.error(response, callback, 503, name, "replayed", "an earlier submission was not run");
    } else if (name.equals(Outcomes.UNKNOWN)) {
      Replies.error(
          response, callback, 504, name, "replayed", "an earlier submission may have run");
    } else {
      response.setStatus(outcome.getHttpStatus());
      response.getHeaders().put(Replies.OUTCOME, name);
      if (!outcome.getContentType().isEmpty()) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, outcome.getContentType());
      }
      if (outcome.getBodyDropped()) {
        response.getHeaders().put("Hickoryspar-Body-Dropped", "true");
      }
      ByteString body = outcome.getBody();
      response.write(true, body.asReadOnlyByteBuffer(), callback);
    }
  }

  /** Records that a claim that was granted too late was not run. */
  void abandonClaim(String team, String key) {
    var unused = batches.record(team, key, Outcomes.of(Outcome.Kind.NOT_RUN, 503));
  }

  private void recorded(ServiceCall call, Outcome outcome, Runnable reply) {
    ServiceCall.Order order = call.order();
    if (!call.isClaimed()) {
      freeKey(call);
      reply.run();
      return;
    }
    CompletableFuture<Boolean> record = batches.record(order.team(), order.key(), outcome);
    CompletableFuture<Boolean> wait = new CompletableFuture<>();
    long left = order.deadlineMillis() - monotonicMillis.getAsLong();
    long most = Math.max(MIN_RECORD_WAIT_MILLIS, Math.min(left, MAX_RECORD_WAIT_MILLIS));
    var late = timer.schedule(() -> wait.complete(false), most, TimeUnit.MILLISECONDS);
    var unusedRecord =
        record.thenAccept(
            done -> {
              freeKey(call);
              late.cancel(false);
              wait.complete(true);
            });
    var unusedReply = wait.thenAccept(done -> reply.run());
  }

  private void ended(ServiceCall call, String outcome, String code) {
    ServiceCall.Order order = call.order();
    metrics.ended(
        order.service(), outcome, code, monotonicMillis.getAsLong() - order.arrivedMillis());
    call.span().setAttribute("hickoryspar.outcome", outcome);
    if (!code.isEmpty()) {
      call.span().setAttribute("hickoryspar.code", code);
    }
    if (!outcome.equals(Outcomes.ANSWERED)) {
      call.span().setStatus(StatusCode.ERROR, code);
    }
    call.span().end();
  }
}
