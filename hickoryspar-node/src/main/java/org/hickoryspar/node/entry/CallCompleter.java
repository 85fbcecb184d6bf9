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

/**
 * Completes each request with exactly one response; if its key was claimed, the response follows
 * the recording of the outcome.
 */
final class CallCompleter {

  /**
   * Maximum time that a response waits for the recording of its outcome. A slower recording
   * continues after the response; until it ends, another submission of the key is rejected as in
   * progress.
   */
  private static final long MAX_RECORD_WAIT_MILLIS = 2_000;

  private static final long MIN_RECORD_WAIT_MILLIS = 200;

  private final ClaimBatcher claimBatcher;
  private final EntryMetrics metrics;
  private final LongSupplier monotonicMillis;
  private final ScheduledExecutorService timer;
  private final Set<String> keysInProgress = ConcurrentHashMap.newKeySet();

  CallCompleter(
      ClaimBatcher claimBatcher,
      EntryMetrics metrics,
      LongSupplier monotonicMillis,
      ScheduledExecutorService timer) {
    this.claimBatcher = claimBatcher;
    this.metrics = metrics;
    this.monotonicMillis = monotonicMillis;
    this.timer = timer;
  }

  /** Marks a non-idempotent key as in progress at this entry; returns false if it already is. */
  boolean tryAcquireKey(ServiceCall call) {
    if (call.parameters().idempotent()) {
      return true;
    }
    boolean added = keysInProgress.add(call.parameters().qualifiedKey());
    if (added) {
      call.markKeyHeld();
    }
    return added;
  }

  private void releaseKey(ServiceCall call) {
    if (call.holdsKey()) {
      keysInProgress.remove(call.parameters().qualifiedKey());
    }
  }

  /** Fails a request that was not run. */
  void failNotRun(ServiceCall call, int status, String code, String message) {
    fail(call, Outcome.Kind.NOT_RUN, status, code, message);
  }

  /** Fails a request that may have run. */
  void failUnknown(ServiceCall call, String code, String message) {
    fail(call, Outcome.Kind.UNKNOWN, 504, code, message);
  }

  private void fail(ServiceCall call, Outcome.Kind kind, int status, String code, String message) {
    if (!call.tryComplete()) {
      return;
    }
    recordThenRespond(
        call,
        Outcomes.of(kind, status),
        () -> {
          reportCompletion(call, Outcomes.name(kind), code);
          call.response().getHeaders().put(Responses.REQUEST_ID, call.parameters().requestId());
          Responses.sendError(
              call.response(), call.callback(), status, Outcomes.name(kind), code, message);
        });
  }

  /** Rejects a request whose key another request has claimed. */
  void rejectConflict(ServiceCall call, String outcome, String code, String message) {
    if (call.tryComplete()) {
      releaseKey(call);
      reportCompletion(call, outcome, code);
      Responses.sendError(call.response(), call.callback(), 409, outcome, code, message);
    }
  }

  /** Sends a buffered response, or ends one that has been streamed. */
  void respond(ServiceCall call, ResponseRelay relay) {
    if (!call.tryComplete()) {
      return;
    }
    recordThenRespond(
        call,
        Outcomes.of(relay),
        () -> {
          reportCompletion(call, relay.outcome(), "");
          if (relay.isCallerDisconnected()) {
            call.callback().failed(new IllegalStateException("the caller disconnected"));
          } else if (relay.isStreaming()) {
            call.response().write(true, ByteBuffer.allocate(0), call.callback());
          } else {
            relay.copyStatusAndHeaders(call.response());
            call.response().write(true, ByteBuffer.wrap(relay.bufferedBytes()), call.callback());
          }
        });
  }

  /** Fails a request whose response was sent in part; closes the connection of the caller. */
  void abort(ServiceCall call, String code) {
    if (!call.tryComplete()) {
      return;
    }
    recordThenRespond(
        call,
        Outcomes.of(Outcome.Kind.UNKNOWN, 504),
        () -> {
          reportCompletion(call, Outcomes.UNKNOWN, code);
          call.callback().failed(new IllegalStateException(code));
        });
  }

  /** Sends the recorded outcome of an earlier submission of the key. */
  void replay(ServiceCall call, Outcome outcome) {
    if (!call.tryComplete()) {
      return;
    }
    releaseKey(call);
    String name = Outcomes.name(outcome.getKind());
    reportCompletion(call, name, "replayed");
    Response response = call.response();
    Callback callback = call.callback();
    if (name.equals(Outcomes.NOT_RUN)) {
      Responses.sendError(
          response, callback, 503, name, "replayed", "an earlier submission was not run");
    } else if (name.equals(Outcomes.UNKNOWN)) {
      Responses.sendError(
          response, callback, 504, name, "replayed", "an earlier submission may have run");
    } else {
      response.setStatus(outcome.getHttpStatus());
      response.getHeaders().put(Responses.OUTCOME, name);
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

  /** Records the outcome not-run for a claim that was granted too late. */
  void abandonClaim(String team, String key) {
    var unused = claimBatcher.record(team, key, Outcomes.of(Outcome.Kind.NOT_RUN, 503));
  }

  private void recordThenRespond(ServiceCall call, Outcome outcome, Runnable sendResponse) {
    ServiceCall.Parameters parameters = call.parameters();
    if (!call.isClaimed()) {
      releaseKey(call);
      sendResponse.run();
      return;
    }
    CompletableFuture<Boolean> record =
        claimBatcher.record(parameters.team(), parameters.key(), outcome);
    CompletableFuture<Boolean> responseTrigger = new CompletableFuture<>();
    long remainingMillis = parameters.deadlineMillis() - monotonicMillis.getAsLong();
    long maxWaitMillis =
        Math.max(MIN_RECORD_WAIT_MILLIS, Math.min(remainingMillis, MAX_RECORD_WAIT_MILLIS));
    var timeoutTask =
        timer.schedule(() -> responseTrigger.complete(false), maxWaitMillis, TimeUnit.MILLISECONDS);
    var unusedRecord =
        record.thenAccept(
            done -> {
              releaseKey(call);
              timeoutTask.cancel(false);
              responseTrigger.complete(true);
            });
    var unusedResponse = responseTrigger.thenAccept(done -> sendResponse.run());
  }

  private void reportCompletion(ServiceCall call, String outcome, String code) {
    ServiceCall.Parameters parameters = call.parameters();
    metrics.recordRequest(
        parameters.service(),
        outcome,
        code,
        monotonicMillis.getAsLong() - parameters.arrivalMillis());
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
