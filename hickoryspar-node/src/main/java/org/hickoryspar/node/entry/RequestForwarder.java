package org.hickoryspar.node.entry;

import com.google.common.hash.Hashing;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.context.Context;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.requests.RetryBudget;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.ClaimResult;

/**
 * Takes a request through its steps: checks, claim, queue, attempts, answer.
 *
 * <p>An answer says {@code not-run} only when no byte of the request was sent, or the minion said
 * that it did not run it.
 */
final class RequestForwarder {

  private static final int MAX_ATTEMPTS = 3;

  /** An attempt of an idempotent request gets at least this time before it is repeated. */
  private static final long MIN_ATTEMPT_MILLIS = 1_000;

  /** A timeout after less than this says more about the deadline than about the minion. */
  private static final long TELLING_TIMEOUT_MILLIS = 1_000;

  private final ServiceDispatcher.Shared shared;
  private final OrderParser parser;
  private final Batches batches;
  private final CallEnds ends;
  private final Traces traces;
  private final ScheduledExecutorService timer;
  private final int queueLength;
  private final RetryBudget retries = new RetryBudget();
  private final Map<String, ServiceDispatcher> dispatchers = new ConcurrentHashMap<>();

  RequestForwarder(
      ServiceDispatcher.Shared shared,
      OrderParser parser,
      Batches batches,
      CallEnds ends,
      Traces traces,
      ScheduledExecutorService timer,
      int queueLength) {
    this.shared = shared;
    this.parser = parser;
    this.batches = batches;
    this.ends = ends;
    this.traces = traces;
    this.timer = timer;
    this.queueLength = queueLength;
  }

  /** Serves a request of a team whose token has been checked. */
  void serve(
      String team, String service, Request request, byte[] body, Response response, Callback done) {
    Result<ServiceCall.Order> parsed = parser.parse(team, service, request.getHeaders(), body);
    Optional<Problem> problem = parsed.problem();
    if (problem.isPresent()) {
      int status = problem.get().code().equals("key-expired") ? 410 : 400;
      Replies.error(
          response, done, status, Outcomes.NOT_RUN, problem.get().code(), problem.get().message());
      return;
    }
    Optional<FleetView> view = shared.config().current();
    if (view.isEmpty()) {
      Replies.error(
          response,
          done,
          503,
          Outcomes.NOT_RUN,
          "no-configuration-lease",
          "this entry has no valid configuration");
    } else if (!view.get().hasTeam(team)) {
      Replies.error(
          response, done, 401, Outcomes.NOT_RUN, "unknown-team", "team " + team + " is unknown");
    } else if (!view.get().hasService(service)) {
      Replies.error(
          response, done, 404, Outcomes.NOT_RUN, "unknown-service", "no service " + service);
    } else {
      parsed.map(
          order -> {
            accept(newCall(order, request, response, done), view.get());
            return true;
          });
    }
  }

  private ServiceCall newCall(
      ServiceCall.Order order, Request request, Response response, Callback done) {
    Span span = traces.request(request, order.service());
    response.getHeaders().put(Replies.REQUEST_ID, order.requestId());
    String traceParent = Traces.traceParent(span);
    if (!traceParent.isEmpty()) {
      response.getHeaders().put("traceparent", traceParent);
    }
    return new ServiceCall(order, request, response, done, span, Context.root().with(span));
  }

  private void accept(ServiceCall call, FleetView view) {
    ServiceCall.Order order = call.order();
    retries.onRequest(order.arrivedMillis());
    ServiceDispatcher dispatcher = dispatcher(order.service());
    if (!dispatcher.hasMinion(view)) {
      ends.notRun(call, 503, "no-minion", "no minion serves " + order.service());
    } else if (!order.idempotent() && batches.isFull()) {
      ends.notRun(call, 503, "records-full", "too many outcomes wait to be recorded");
    } else if (!ends.begin(call)) {
      ends.conflict(
          call, Outcomes.UNKNOWN, "in-progress", "a request with this key is in progress");
    } else if (!dispatcher.reserve(order.team())) {
      ends.notRun(call, 429, "queue-full", "too many requests wait for " + order.service());
    } else if (order.idempotent()) {
      dispatcher.enqueue(call);
    } else {
      claim(call, dispatcher);
    }
  }

  // -- claim

  private void claim(ServiceCall call, ServiceDispatcher dispatcher) {
    ServiceCall.Order order = call.order();
    Span span = traces.child("entry.claim", call.context());
    byte[] fingerprint =
        Hashing.sha256()
            .newHasher()
            .putString(order.service(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(order.body())
            .hash()
            .asBytes();
    AtomicBoolean decided = new AtomicBoolean();
    var late =
        timer.schedule(
            () -> {
              if (decided.compareAndSet(false, true)) {
                dispatcher.releasePlace(order.team());
                reject(call, "deadline");
              }
            },
            Math.max(1, order.deadlineMillis() - now()),
            TimeUnit.MILLISECONDS);
    batches.claim(
        order.team(),
        order.key(),
        fingerprint,
        result -> {
          late.cancel(false);
          span.end();
          if (decided.compareAndSet(false, true)) {
            result.fold(
                problem -> claimFailed(call, dispatcher, problem),
                claim -> claimed(call, dispatcher, claim));
          } else {
            result.map(claim -> abandonUnusedClaim(order, claim));
          }
        });
  }

  /** A claim whose request has been answered not-run must not keep its key in progress. */
  private boolean abandonUnusedClaim(ServiceCall.Order order, ClaimResult claim) {
    boolean held = claim.getStatus() == ClaimResult.Status.GRANTED;
    if (held) {
      ends.abandonClaim(order.team(), order.key());
    }
    return held;
  }

  private boolean claimFailed(ServiceCall call, ServiceDispatcher dispatcher, Problem problem) {
    ServiceCall.Order order = call.order();
    dispatcher.releasePlace(order.team());
    ends.notRun(call, 503, "not-claimed", "the request could not be claimed: " + problem.message());
    return false;
  }

  private boolean claimed(ServiceCall call, ServiceDispatcher dispatcher, ClaimResult claim) {
    if (claim.getStatus() == ClaimResult.Status.GRANTED) {
      call.markClaimed();
      dispatcher.enqueue(call);
      return true;
    }
    dispatcher.releasePlace(call.order().team());
    switch (claim.getStatus()) {
      case COMPLETED -> ends.replay(call, claim.getOutcome());
      case IN_PROGRESS ->
          ends.conflict(
              call,
              Outcomes.UNKNOWN,
              "in-progress",
              "the key is in progress at entry " + claim.getHolderInstance());
      case FINGERPRINT_MISMATCH ->
          ends.conflict(
              call, Outcomes.NOT_RUN, "key-reused", "the key was used with another request");
      case EXPIRED -> ends.notRun(call, 410, "key-expired", "the key is older than 24 hours");
      case FULL -> ends.notRun(call, 503, "claims-full", "the team holds too many claims");
      default -> ends.notRun(call, 503, "not-claimed", "control gave no result");
    }
    return false;
  }

  // -- attempts

  private void launch(ServiceCall call, MinionState minion) {
    ServiceDispatcher dispatcher = dispatcher(call.order().service());
    Span span = traces.child("entry.attempt", call.context());
    span.setAttribute("hickoryspar.minion", minion.id());
    Attempt attempt =
        new Attempt(
            call,
            minion,
            dispatcher.maxConnections(minion),
            timer,
            () -> dispatcher.maySend(call, minion),
            span,
            Traces.traceParent(span),
            this::onEnd);
    attempt.start(attemptMillis(call));
  }

  /** An idempotent request keeps half of its time for another attempt. */
  private long attemptMillis(ServiceCall call) {
    long left = Math.max(1, call.order().deadlineMillis() - now());
    return call.order().idempotent()
        ? Math.min(left, Math.max(MIN_ATTEMPT_MILLIS, left / 2))
        : left;
  }

  private void onEnd(Attempt attempt, Attempt.End end) {
    ServiceCall call = attempt.call();
    ServiceDispatcher dispatcher = dispatcher(call.order().service());
    dispatcher.attemptEnded(attempt.minion(), health(attempt, end));
    switch (end) {
      case ANSWERED -> answered(attempt, dispatcher);
      case NOT_SENT, REFUSED -> notSent(attempt, end, dispatcher);
      case LOST -> {
        call.markMayHaveRun();
        if (call.order().idempotent() && mayRetry(call, true)) {
          dispatcher.requeue(call);
        } else if (attempt.isTimedOut()) {
          ends.unknown(call, "timeout", "the minion did not answer in time");
        } else {
          ends.unknown(call, "answer-lost", "the minion gave no whole answer");
        }
      }
      case BROKEN -> ends.broken(call, "answer-broken");
      default -> ends.broken(call, "caller-gone");
    }
    dispatcher.dispatch();
  }

  private void answered(Attempt attempt, ServiceDispatcher dispatcher) {
    ServiceCall call = attempt.call();
    AnswerRelay relay = attempt.relay();
    boolean unavailable = isUnavailable(relay);
    if (unavailable
        && call.order().idempotent()
        && !relay.isStreaming()
        && dispatcher.hasUntried(call)
        && mayRetry(call, true)) {
      call.markMayHaveRun();
      dispatcher.requeue(call);
    } else {
      ends.answer(call, relay);
    }
  }

  /** The request did not reach the minion, or the minion declined it: another may take it. */
  private void notSent(Attempt attempt, Attempt.End end, ServiceDispatcher dispatcher) {
    ServiceCall call = attempt.call();
    boolean blocked = end == Attempt.End.NOT_SENT && !attempt.isConnectFailed();
    if (now() < call.order().deadlineMillis()
        && (blocked
            || (dispatcher.hasUntried(call) && mayRetry(call, end == Attempt.End.REFUSED)))) {
      dispatcher.requeue(call);
    } else if (call.mayHaveRun()) {
      ends.unknown(call, "answer-lost", "an earlier attempt may have run");
    } else if (end == Attempt.End.REFUSED) {
      ends.notRun(call, 503, "refused", "the minion did not run the request");
    } else if (now() >= call.order().deadlineMillis()) {
      ends.notRun(call, 503, "deadline", "the deadline passed before the request was sent");
    } else {
      ends.notRun(call, 503, "unreachable", "no minion could be reached");
    }
  }

  private boolean mayRetry(ServiceCall call, boolean fromBudget) {
    if (call.attempts() >= MAX_ATTEMPTS || now() >= call.order().deadlineMillis()) {
      return false;
    }
    boolean allowed = !fromBudget || retries.tryAcquire(now());
    shared.metrics().retry(call.order().service(), allowed);
    return allowed;
  }

  private ServiceDispatcher.Health health(Attempt attempt, Attempt.End end) {
    return switch (end) {
      case ANSWERED ->
          isUnavailable(attempt.relay())
              ? ServiceDispatcher.Health.BAD
              : ServiceDispatcher.Health.GOOD;
      case NOT_SENT ->
          attempt.isConnectFailed()
              ? ServiceDispatcher.Health.BAD
              : ServiceDispatcher.Health.NEUTRAL;
      case CALLER_GONE -> ServiceDispatcher.Health.NEUTRAL;
      case LOST ->
          attempt.isTimedOut()
                  && now() - attempt.call().order().arrivedMillis() < TELLING_TIMEOUT_MILLIS
              ? ServiceDispatcher.Health.NEUTRAL
              : ServiceDispatcher.Health.BAD;
      case REFUSED, BROKEN -> ServiceDispatcher.Health.BAD;
    };
  }

  private static boolean isUnavailable(AnswerRelay relay) {
    int status = relay.answer().getStatus();
    return status >= 502 && status <= 504;
  }

  /** Answers a request that waited in vain. */
  private void reject(ServiceCall call, String code) {
    if (call.mayHaveRun()) {
      ends.unknown(call, code, "an earlier attempt may have run");
    } else {
      ends.notRun(call, 503, code, "the request was not sent: " + code);
    }
  }

  // -- housekeeping

  /** Dispatches, expires and, when asked, probes connections. */
  void tick(boolean probe) {
    dispatchers.values().forEach(dispatcher -> dispatcher.tick(probe));
  }

  void dispatchAll() {
    dispatchers.values().forEach(ServiceDispatcher::dispatch);
  }

  Map<String, Integer> slotDemands() {
    Map<String, Integer> demands = new TreeMap<>();
    dispatchers.values().forEach(dispatcher -> dispatcher.addDemands(demands));
    return demands;
  }

  private ServiceDispatcher dispatcher(String service) {
    return dispatchers.computeIfAbsent(
        service,
        name -> new ServiceDispatcher(name, queueLength, shared, this::launch, this::reject));
  }

  private long now() {
    return shared.monotonicMillis().getAsLong();
  }
}
