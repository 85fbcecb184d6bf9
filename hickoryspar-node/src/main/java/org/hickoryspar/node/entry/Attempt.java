package org.hickoryspar.node.entry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Promise;
import org.hickoryspar.node.observability.EventLogger;
import org.jspecify.annotations.Nullable;

/** An attempt of a request: sends it to one minion and relays the response to the caller. */
final class Attempt
    implements ResponseRelay.Listener, Promise<MinionConnectionPool.PooledConnection> {

  /** The end of an attempt; its name is the value of the span attribute hickoryspar.end. */
  enum End {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** The minion reported that it did not run the request. */
    REFUSED,
    /** Bytes were sent, but no complete response was received; the caller has received nothing. */
    LOST,
    /** A complete response was received. */
    ANSWERED,
    /** The response ended early, after a part of it had been sent to the caller. */
    BROKEN,
    /** The caller disconnected during the response, and the rest was not read. */
    CALLER_GONE
  }

  /** Receives the end of an attempt. */
  interface EndListener {

    /** Called once, when the attempt no longer uses its connection and its timers. */
    void onEnd(Attempt attempt, End end);
  }

  private static final long STALL_CHECK_INTERVAL_MILLIS = 5_000;

  /** Consecutive checks without a chunk from the minion after which a response is aborted. */
  private static final int MAX_STALLED_CHECKS = 6;

  private enum Phase {
    CONNECTING,
    SENT,
    ENDED
  }

  private final ServiceCall call;
  private final MinionState minion;
  private final MinionConnectionPool pool;
  private final int maxConnections;
  private final ScheduledExecutorService timer;
  private final BooleanSupplier maySend;
  private final Span span;
  private final String traceParent;
  private final EndListener listener;
  private Phase phase = Phase.CONNECTING;
  private MinionConnectionPool.@Nullable PooledConnection pooledConnection;
  private @Nullable Request request;
  private @Nullable ScheduledFuture<?> timeoutTask;
  private @Nullable Result result;
  private boolean bodyConsumed;
  private int stalledChecks;
  private long lastProgress;
  private volatile boolean requestBegun;
  private volatile boolean timedOut;
  private volatile boolean connectFailed;
  private volatile boolean responseMismatched;
  private volatile @Nullable ResponseRelay relay;

  Attempt(
      ServiceCall call,
      MinionState minion,
      int maxConnections,
      ScheduledExecutorService timer,
      BooleanSupplier maySend,
      Span span,
      String traceParent,
      EndListener listener) {
    this.call = call;
    this.minion = minion;
    this.pool = minion.pool();
    this.maxConnections = maxConnections;
    this.timer = timer;
    this.maySend = maySend;
    this.span = span;
    this.traceParent = traceParent;
    this.listener = listener;
  }

  void start(long timeoutMillis) {
    synchronized (this) {
      timeoutTask = timer.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }
    pool.acquire(call.parameters().idempotent(), maxConnections, this);
  }

  ServiceCall call() {
    return call;
  }

  MinionState minion() {
    return minion;
  }

  boolean isTimedOut() {
    return timedOut;
  }

  /** Returns whether no connection could be acquired from the pool. */
  boolean isConnectFailed() {
    return connectFailed;
  }

  /** Returns the relay of the response; call it only after an attempt that received one. */
  ResponseRelay relay() {
    return Objects.requireNonNull(relay, "no response");
  }

  // -- connection

  @Override
  public void succeeded(MinionConnectionPool.PooledConnection connection) {
    Request minionRequest = newRequest();
    boolean sendAllowed = maySend.getAsBoolean();
    boolean ended;
    synchronized (this) {
      ended = phase == Phase.ENDED;
      if (!ended && sendAllowed) {
        phase = Phase.SENT;
        pooledConnection = connection;
        request = minionRequest;
      }
    }
    if (ended || !sendAllowed) {
      pool.releaseUnused(connection);
      end(End.NOT_SENT);
    } else {
      connection.connection().send(minionRequest, this::onComplete);
    }
  }

  @Override
  public void failed(Throwable cause) {
    connectFailed = true;
    end(End.NOT_SENT);
  }

  private Request newRequest() {
    ServiceCall.Parameters parameters = call.parameters();
    org.eclipse.jetty.server.Request callerRequest = call.request();
    return pool.newRequest()
        .method(HttpMethod.POST)
        .path("/run/" + parameters.service())
        .headers(
            headers -> {
              for (HttpHeader name :
                  new HttpHeader[] {
                    HttpHeader.CONTENT_TYPE,
                    HttpHeader.CONTENT_ENCODING,
                    HttpHeader.CONTENT_LANGUAGE,
                    HttpHeader.ACCEPT
                  }) {
                String value = callerRequest.getHeaders().get(name);
                if (value != null) {
                  headers.put(name, value);
                }
              }
              headers
                  .put(Responses.REQUEST_ID, parameters.requestId())
                  .put("Idempotency-Key", parameters.key())
                  .put("Hickoryspar-Team", parameters.team());
              if (!traceParent.isEmpty()) {
                headers.put("traceparent", traceParent);
              }
            })
        .body(new BytesRequestContent("application/octet-stream", parameters.body()))
        .onRequestBegin(startedRequest -> requestBegun = true)
        .onResponseContentSource(this::onResponse);
  }

  // -- response

  private void onResponse(Response response, Content.Source source) {
    String responseId = response.getHeaders().get(Responses.REQUEST_ID);
    if (!call.parameters().requestId().equals(responseId)) {
      EventLogger.log(
          EntryEvent.WRONG_ANSWER, minion.id(), call.parameters().requestId(), responseId);
      responseMismatched = true;
      abort(new IllegalStateException("response to another request"));
      return;
    }
    boolean hasFraming =
        response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
            || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
            || response.getStatus() == 204;
    if (!hasFraming) {
      // Without framing, a lost connection could not be distinguished from the end of the response.
      abort(new IllegalStateException("response without Content-Length or Transfer-Encoding"));
      return;
    }
    String outcome = response.getStatus() >= 500 ? Outcomes.MINION_FAILED : Outcomes.ANSWERED;
    ResponseRelay newRelay =
        new ResponseRelay(
            response, source, call.response(), outcome, !call.parameters().idempotent(), this);
    relay = newRelay;
    newRelay.relayChunks();
  }

  @Override
  public void onStreaming() {
    synchronized (this) {
      cancelTimeout();
      if (phase != Phase.ENDED) {
        // A slow caller may read beyond the deadline; only a stalled minion ends the response.
        timeoutTask =
            timer.scheduleWithFixedDelay(
                this::checkProgress,
                STALL_CHECK_INTERVAL_MILLIS,
                STALL_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
      }
    }
  }

  @Override
  public void onCallerDisconnected(Throwable cause) {
    if (call.parameters().idempotent()) {
      abort(cause);
      synchronized (this) {
        bodyConsumed = true;
      }
      endIfComplete();
    }
  }

  @Override
  public void onBodyConsumed() {
    synchronized (this) {
      bodyConsumed = true;
    }
    endIfComplete();
  }

  private void onComplete(Result exchangeResult) {
    synchronized (this) {
      result = exchangeResult;
    }
    endIfComplete();
  }

  /** Ends the attempt after the exchange and, if it succeeded, after the body is consumed. */
  private void endIfComplete() {
    Result exchangeResult;
    synchronized (this) {
      exchangeResult = result;
      if (exchangeResult == null || (exchangeResult.isSucceeded() && !bodyConsumed)) {
        return;
      }
    }
    ResponseRelay currentRelay = relay;
    if (exchangeResult.isFailed() || currentRelay == null) {
      end(classifyFailure(currentRelay));
    } else if (isRefusal(currentRelay.minionResponse()) && !currentRelay.isStreaming()) {
      end(End.REFUSED);
    } else {
      end(End.ANSWERED);
    }
  }

  private End classifyFailure(@Nullable ResponseRelay currentRelay) {
    if (!requestBegun) {
      return End.NOT_SENT;
    }
    if (currentRelay != null && currentRelay.isStreaming()) {
      return currentRelay.isCallerDisconnected() ? End.CALLER_GONE : End.BROKEN;
    }
    return End.LOST;
  }

  private static boolean isRefusal(Response response) {
    return response.getStatus() == 503
        && Outcomes.NOT_RUN.equalsIgnoreCase(response.getHeaders().get(Responses.OUTCOME));
  }

  // -- timeout and end

  private void onTimeout() {
    timedOut = true;
    boolean connecting;
    synchronized (this) {
      connecting = phase == Phase.CONNECTING;
    }
    if (connecting) {
      end(End.NOT_SENT);
    } else {
      abort(new TimeoutException("no complete response in time"));
    }
  }

  private void checkProgress() {
    ResponseRelay currentRelay = relay;
    long progress = currentRelay == null ? -1 : currentRelay.progress();
    boolean stalled;
    synchronized (this) {
      stalledChecks = progress >= 0 && progress == lastProgress ? stalledChecks + 1 : 0;
      lastProgress = progress;
      stalled = stalledChecks >= MAX_STALLED_CHECKS;
    }
    if (stalled) {
      timedOut = true;
      abort(new TimeoutException("the minion stopped sending"));
    }
  }

  private void abort(Throwable cause) {
    Request currentRequest;
    synchronized (this) {
      currentRequest = request;
    }
    if (currentRequest != null) {
      var unused = currentRequest.abort(cause);
    }
  }

  private synchronized void cancelTimeout() {
    if (timeoutTask != null) {
      timeoutTask.cancel(false);
      timeoutTask = null;
    }
  }

  private void end(End end) {
    MinionConnectionPool.PooledConnection connection;
    synchronized (this) {
      if (phase == Phase.ENDED) {
        return;
      }
      phase = Phase.ENDED;
      connection = pooledConnection;
      cancelTimeout();
    }
    if (connection != null) {
      if (end == End.ANSWERED || end == End.REFUSED) {
        pool.release(connection);
      } else {
        pool.discard(connection);
      }
    }
    if (timedOut && requestBegun) {
      pool.recordTimeout();
    }
    span.setAttribute("hickoryspar.end", end.name());
    if (end != End.ANSWERED) {
      span.setStatus(
          StatusCode.ERROR, responseMismatched ? "response to another request" : end.name());
    }
    span.end();
    listener.onEnd(this, end);
  }
}
