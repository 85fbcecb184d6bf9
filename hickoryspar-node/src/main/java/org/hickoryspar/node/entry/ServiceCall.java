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
   * @param arrivalMillis monotonic time of arrival
   * @param deadlineMillis monotonic time after which no answer is useful
   */
  @SuppressWarnings("ArrayRecordComponent") // compared by identity only, and never changed
  record Parameters(
      String team,
      String service,
      String key,
      String requestId,
      byte[] body,
      boolean idempotent,
      boolean urgent,
      long arrivalMillis,
      long deadlineMillis) {

    String qualifiedKey() {
      return team + '/' + key;
    }
  }

  private final Parameters parameters;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final Span span;
  private final Context context;
  private final AtomicBoolean completed = new AtomicBoolean();
  private final Set<String> triedMinions = new HashSet<>();
  private int attemptCount;
  private boolean holdsKey;
  private boolean claimed;
  private boolean mayHaveRun;

  ServiceCall(
      Parameters parameters,
      Request request,
      Response response,
      Callback callback,
      Span span,
      Context context) {
    this.parameters = parameters;
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.span = span;
    this.context = context;
  }

  Parameters parameters() {
    return parameters;
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
  boolean tryComplete() {
    return completed.compareAndSet(false, true);
  }

  synchronized void recordAttempt(String minionId) {
    triedMinions.add(minionId);
    attemptCount++;
  }

  synchronized boolean hasTried(String minionId) {
    return triedMinions.contains(minionId);
  }

  synchronized int attemptCount() {
    return attemptCount;
  }

  synchronized void markKeyHeld() {
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
