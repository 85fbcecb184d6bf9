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

/** One attempt to run a request at one minion. */
final class Attempt implements AnswerRelay.Listener, Promise<MinionPool.Pooled> {

  /** How an attempt ended. */
  enum End {
    /** No byte was sent. */
    NOT_SENT,
    /** The minion said that it did not run the request. */
    REFUSED,
    /** Bytes were sent and no whole answer came; the caller has seen nothing yet. */
    LOST,
    /** A whole answer came. */
    ANSWERED,
    /** The answer broke off after a part of it had been passed on. */
    BROKEN,
    /** The caller went away while the answer was passed on, and the rest was not taken. */
    CALLER_GONE
  }

  /** Receives the end of an attempt. */
  interface EndListener {

    /** Called once; the connection and the timers of the attempt are no longer in use. */
    void onEnd(Attempt attempt, End end);
  }

  private static final long STALL_CHECK_MILLIS = 5_000;

  /** Checks without a piece from the minion after which a streamed answer counts as lost. */
  private static final int MAX_STALLED_CHECKS = 6;

  private enum Phase {
    CONNECTING,
    SENT,
    ENDED
  }

  private final ServiceCall call;
  private final MinionState minion;
  private final MinionPool pool;
  private final int maxConnections;
  private final ScheduledExecutorService timer;
  private final BooleanSupplier maySend;
  private final Span span;
  private final String traceParent;
  private final EndListener listener;
  private Phase phase = Phase.CONNECTING;
  private MinionPool.@Nullable Pooled pooled;
  private @Nullable Request request;
  private @Nullable ScheduledFuture<?> timeout;
  private @Nullable Result result;
  private boolean allTaken;
  private int stalledChecks;
  private long seenProgress;
  private volatile boolean begun;
  private volatile boolean timedOut;
  private volatile boolean connectFailed;
  private volatile boolean wrongAnswer;
  private volatile @Nullable AnswerRelay relay;

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
      timeout = timer.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }
    pool.acquire(call.order().idempotent(), maxConnections, this);
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

  boolean isConnectFailed() {
    return connectFailed;
  }

  /** Returns the relay of an answer; present when the attempt ended with an answer. */
  AnswerRelay relay() {
    return Objects.requireNonNull(relay, "no answer");
  }

  // -- connection

  @Override
  public void succeeded(MinionPool.Pooled connection) {
    Request made = newRequest();
    boolean send = maySend.getAsBoolean();
    boolean ended;
    synchronized (this) {
      ended = phase == Phase.ENDED;
      if (!ended && send) {
        phase = Phase.SENT;
        pooled = connection;
        request = made;
      }
    }
    if (ended || !send) {
      pool.releaseUnused(connection);
      end(End.NOT_SENT);
    } else {
      connection.connection().send(made, this::onComplete);
    }
  }

  @Override
  public void failed(Throwable cause) {
    connectFailed = true;
    end(End.NOT_SENT);
  }

  private Request newRequest() {
    ServiceCall.Order order = call.order();
    org.eclipse.jetty.server.Request from = call.request();
    return pool.newRequest()
        .method(HttpMethod.POST)
        .path("/run/" + order.service())
        .headers(
            headers -> {
              for (HttpHeader name :
                  new HttpHeader[] {
                    HttpHeader.CONTENT_TYPE,
                    HttpHeader.CONTENT_ENCODING,
                    HttpHeader.CONTENT_LANGUAGE,
                    HttpHeader.ACCEPT
                  }) {
                String value = from.getHeaders().get(name);
                if (value != null) {
                  headers.put(name, value);
                }
              }
              headers
                  .put(Replies.REQUEST_ID, order.requestId())
                  .put("Idempotency-Key", order.key())
                  .put("Hickoryspar-Team", order.team());
              if (!traceParent.isEmpty()) {
                headers.put("traceparent", traceParent);
              }
            })
        .body(new BytesRequestContent("application/octet-stream", order.body()))
        .onRequestBegin(sent -> begun = true)
        .onResponseContentSource(this::onAnswer);
  }

  // -- answer

  private void onAnswer(Response answer, Content.Source source) {
    String id = answer.getHeaders().get(Replies.REQUEST_ID);
    if (!call.order().requestId().equals(id)) {
      EventLogger.log(EntryEvent.WRONG_ANSWER, minion.id(), call.order().requestId(), id);
      wrongAnswer = true;
      abort(new IllegalStateException("answer of another request"));
      return;
    }
    boolean measured =
        answer.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
            || answer.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
            || answer.getStatus() == 204;
    if (!measured) {
      // Without a length the end of the connection would pass for the end of the answer.
      abort(new IllegalStateException("answer without a length"));
      return;
    }
    String outcome = answer.getStatus() >= 500 ? Outcomes.MINION_FAILED : Outcomes.ANSWERED;
    AnswerRelay made =
        new AnswerRelay(answer, source, call.response(), outcome, !call.order().idempotent(), this);
    relay = made;
    made.run();
  }

  @Override
  public void onStreaming() {
    synchronized (this) {
      cancelTimeout();
      if (phase != Phase.ENDED) {
        // A slow caller may take longer than the deadline; only a silent minion ends the answer.
        timeout =
            timer.scheduleWithFixedDelay(
                this::checkProgress, STALL_CHECK_MILLIS, STALL_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  @Override
  public void onCallerGone(Throwable cause) {
    if (call.order().idempotent()) {
      abort(cause);
      synchronized (this) {
        allTaken = true;
      }
      settleIfComplete();
    }
  }

  @Override
  public void onAllTaken() {
    synchronized (this) {
      allTaken = true;
    }
    settleIfComplete();
  }

  private void onComplete(Result ended) {
    synchronized (this) {
      result = ended;
    }
    settleIfComplete();
  }

  /** Ends the attempt once the exchange is over and, if it succeeded, all pieces are passed on. */
  private void settleIfComplete() {
    Result ended;
    synchronized (this) {
      ended = result;
      if (ended == null || (ended.isSucceeded() && !allTaken)) {
        return;
      }
    }
    AnswerRelay got = relay;
    if (ended.isFailed() || got == null) {
      end(failedEnd(got));
    } else if (isRefusal(got.answer()) && !got.isStreaming()) {
      end(End.REFUSED);
    } else {
      end(End.ANSWERED);
    }
  }

  private End failedEnd(@Nullable AnswerRelay got) {
    if (!begun) {
      return End.NOT_SENT;
    }
    if (got != null && got.isStreaming()) {
      return got.isCallerGone() ? End.CALLER_GONE : End.BROKEN;
    }
    return End.LOST;
  }

  private static boolean isRefusal(Response answer) {
    return answer.getStatus() == 503
        && Outcomes.NOT_RUN.equalsIgnoreCase(answer.getHeaders().get(Replies.OUTCOME));
  }

  // -- time and end

  private void onTimeout() {
    timedOut = true;
    boolean connecting;
    synchronized (this) {
      connecting = phase == Phase.CONNECTING;
    }
    if (connecting) {
      end(End.NOT_SENT);
    } else {
      abort(new TimeoutException("no whole answer in time"));
    }
  }

  private void checkProgress() {
    AnswerRelay got = relay;
    long progress = got == null ? -1 : got.progress();
    boolean stalled;
    synchronized (this) {
      stalledChecks = progress >= 0 && progress == seenProgress ? stalledChecks + 1 : 0;
      seenProgress = progress;
      stalled = stalledChecks >= MAX_STALLED_CHECKS;
    }
    if (stalled) {
      timedOut = true;
      abort(new TimeoutException("the minion stopped sending"));
    }
  }

  private void abort(Throwable cause) {
    Request running;
    synchronized (this) {
      running = request;
    }
    if (running != null) {
      var unused = running.abort(cause);
    }
  }

  private synchronized void cancelTimeout() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
    }
  }

  private void end(End end) {
    MinionPool.Pooled connection;
    synchronized (this) {
      if (phase == Phase.ENDED) {
        return;
      }
      phase = Phase.ENDED;
      connection = pooled;
      cancelTimeout();
    }
    if (connection != null) {
      if (end == End.ANSWERED || end == End.REFUSED) {
        pool.release(connection);
      } else {
        pool.discard(connection);
      }
    }
    if (timedOut && begun) {
      pool.suspect();
    }
    span.setAttribute("hickoryspar.end", end.name());
    if (end != End.ANSWERED) {
      span.setStatus(StatusCode.ERROR, wrongAnswer ? "answer of another request" : end.name());
    }
    span.end();
    listener.onEnd(this, end);
  }
}
