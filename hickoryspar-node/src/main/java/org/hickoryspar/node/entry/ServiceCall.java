package org.hickoryspar.node.entry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.context.Context;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One request of a caller, from its arrival to its answer. */
final class ServiceCall {

  /**
   * What the caller asked for.
   *
   * @param team team of the caller
   * @param service service that is called
   * @param key idempotency key, made by the entry when an idempotent request has none
   * @param requestId identifies the request towards minion and caller
   * @param body the request body
   * @param idempotent whether it may run more than once
   * @param urgent whether it goes before others in the queue
   * @param arrivedMillis monotonic time of arrival
   * @param deadlineMillis monotonic time after which no answer is useful
   */
  @SuppressWarnings("ArrayRecordComponent") // compared by identity only, and never changed
  record Order(
      String team,
      String service,
      String key,
      String requestId,
      byte[] body,
      boolean idempotent,
      boolean urgent,
      long arrivedMillis,
      long deadlineMillis) {

    String claimName() {
      return team + '/' + key;
    }
  }

  private final Order order;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final Span span;
  private final Context context;
  private final AtomicBoolean settled = new AtomicBoolean();
  private final Set<String> tried = new HashSet<>();
  private int attempts;
  private boolean holdsKey;
  private boolean claimed;
  private boolean mayHaveRun;

  ServiceCall(
      Order order,
      Request request,
      Response response,
      Callback callback,
      Span span,
      Context context) {
    this.order = order;
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.span = span;
    this.context = context;
  }

  Order order() {
    return order;
  }

  Request request() {
    return request;
  }

  Response response() {
    return response;
  }

  Callback callback() {
    return callback;
  }

  Span span() {
    return span;
  }

  Context context() {
    return context;
  }

  /** Returns true for the first caller of this method: exactly one answer is given. */
  boolean settle() {
    return settled.compareAndSet(false, true);
  }

  synchronized void attemptStarted(String minion) {
    tried.add(minion);
    attempts++;
  }

  synchronized boolean hasTried(String minion) {
    return tried.contains(minion);
  }

  synchronized int attempts() {
    return attempts;
  }

  synchronized void markHoldsKey() {
    holdsKey = true;
  }

  /** Returns whether the key of this request is marked as in use here by this request. */
  synchronized boolean holdsKey() {
    return holdsKey;
  }

  synchronized void markClaimed() {
    claimed = true;
  }

  synchronized boolean isClaimed() {
    return claimed;
  }

  synchronized void markMayHaveRun() {
    mayHaveRun = true;
  }

  synchronized boolean mayHaveRun() {
    return mayHaveRun;
  }
}
