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
 * Forwards requests to minions: validates a request, claims its key unless it is idempotent, queues
 * it, attempts it at one or more minions and responds to the caller.
 *
 * <p>The outcome is {@code not-run} only if no byte of the request was sent to a minion, or if the
 * minion reported that it did not run the request.
 */
final class RequestForwarder {

  private static final int MAX_ATTEMPTS = 3;

  /** Minimum timeout of an attempt of an idempotent request, unless its deadline is earlier. */
  private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 1_000;

  /**
   * Minimum time since the arrival of a request for a timeout to count as a failure of the minion;
   * an earlier timeout is due to a short deadline.
   */
  private static final long MIN_COUNTED_TIMEOUT_MILLIS = 1_000;

  private final ServiceDispatcher.SharedDependencies shared;
  private final RequestParser parser;
  private final ClaimBatcher claimBatcher;
  private final CallCompleter callCompleter;
  private final RequestTracer tracer;
  private final ScheduledExecutorService timer;
  private final int queueCapacity;
  private final RetryBudget retryBudget = new RetryBudget();
  private final Map<String, ServiceDispatcher> dispatchers = new ConcurrentHashMap<>();

  RequestForwarder(
      ServiceDispatcher.SharedDependencies shared,
      RequestParser parser,
      ClaimBatcher claimBatcher,
      CallCompleter callCompleter,
      RequestTracer tracer,
      ScheduledExecutorService timer,
      int queueCapacity) {
    this.shared = shared;
    this.parser = parser;
    this.claimBatcher = claimBatcher;
    this.callCompleter = callCompleter;
    this.tracer = tracer;
    this.timer = timer;
    this.queueCapacity = queueCapacity;
  }

  /** Forwards a request of an authenticated team, or responds with an error if it is invalid. */
  void forward(
      String team,
      String service,
      Request request,
      byte[] body,
      Response response,
      Callback callback) {
    Result<ServiceCall.Parameters> parseResult =
        parser.parse(team, service, request.getHeaders(), body);
    Optional<Problem> problem = parseResult.problem();
    if (problem.isPresent()) {
      int status = problem.get().code().equals("key-expired") ? 410 : 400;
      Responses.sendError(
          response,
          callback,
          status,
          Outcomes.NOT_RUN,
          problem.get().code(),
          problem.get().message());
      return;
    }
    Optional<FleetView> view = shared.configLease().current();
    if (view.isEmpty()) {
      Responses.sendError(
          response,
          callback,
          503,
          Outcomes.NOT_RUN,
          "no-configuration-lease",
          "this entry has no valid configuration");
    } else if (!view.get().hasTeam(team)) {
      Responses.sendError(
          response,
          callback,
          401,
          Outcomes.NOT_RUN,
          "unknown-team",
          "team " + team + " is unknown");
    } else if (!view.get().hasService(service)) {
      Responses.sendError(
          response,
          callback,
          404,
          Outcomes.NOT_RUN,
          "unknown-service",
          "unknown service " + service);
    } else {
      parseResult.map(
          parameters -> {
            admit(newCall(parameters, request, response, callback), view.get());
            return true;
          });
    }
  }

  private ServiceCall newCall(
      ServiceCall.Parameters parameters, Request request, Response response, Callback callback) {
    Span span = tracer.startRequestSpan(request, parameters.service());
    response.getHeaders().put(Responses.REQUEST_ID, parameters.requestId());
    String traceParent = RequestTracer.traceParent(span);
    if (!traceParent.isEmpty()) {
      response.getHeaders().put("traceparent", traceParent);
    }
    return new ServiceCall(
        parameters, request, response, callback, span, Context.root().with(span));
  }

  private void admit(ServiceCall call, FleetView view) {
    ServiceCall.Parameters parameters = call.parameters();
    retryBudget.onRequest(parameters.arrivalMillis());
    ServiceDispatcher dispatcher = dispatcherFor(parameters.service());
    if (!dispatcher.hasEligibleMinion(view)) {
      callCompleter.failNotRun(call, 503, "no-minion", "no minion serves " + parameters.service());
    } else if (!parameters.idempotent() && claimBatcher.isFull()) {
      callCompleter.failNotRun(
          call, 503, "records-full", "too many claims and outcomes are pending");
    } else if (!callCompleter.tryAcquireKey(call)) {
      callCompleter.rejectConflict(
          call, Outcomes.UNKNOWN, "in-progress", "a request with this key is in progress");
    } else if (!dispatcher.reserve(parameters.team())) {
      callCompleter.failNotRun(
          call, 429, "queue-full", "too many requests are queued for " + parameters.service());
    } else if (parameters.idempotent()) {
      dispatcher.enqueue(call);
    } else {
      claimKey(call, dispatcher);
    }
  }

  // -- claim

  private void claimKey(ServiceCall call, ServiceDispatcher dispatcher) {
    ServiceCall.Parameters parameters = call.parameters();
    Span span = tracer.startChildSpan("entry.claim", call.context());
    byte[] fingerprint =
        Hashing.sha256()
            .newHasher()
            .putString(parameters.service(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(parameters.body())
            .hash()
            .asBytes();
    AtomicBoolean decided = new AtomicBoolean();
    var deadlineTimer =
        timer.schedule(
            () -> {
              if (decided.compareAndSet(false, true)) {
                dispatcher.releaseReservation(parameters.team());
                reject(call, "deadline");
              }
            },
            Math.max(1, parameters.deadlineMillis() - nowMillis()),
            TimeUnit.MILLISECONDS);
    claimBatcher.claim(
        parameters.team(),
        parameters.key(),
        fingerprint,
        result -> {
          deadlineTimer.cancel(false);
          span.end();
          if (decided.compareAndSet(false, true)) {
            result.fold(
                problem -> handleClaimFailure(call, dispatcher, problem),
                claimResult -> handleClaimResult(call, dispatcher, claimResult));
          } else {
            result.map(claimResult -> abandonLateClaim(parameters, claimResult));
          }
        });
  }

  /**
   * Records the outcome of a claim that was granted after its request had been rejected at the
   * deadline; otherwise the key would stay in progress.
   */
  private boolean abandonLateClaim(ServiceCall.Parameters parameters, ClaimResult claimResult) {
    boolean granted = claimResult.getStatus() == ClaimResult.Status.GRANTED;
    if (granted) {
      callCompleter.abandonClaim(parameters.team(), parameters.key());
    }
    return granted;
  }

  private boolean handleClaimFailure(
      ServiceCall call, ServiceDispatcher dispatcher, Problem problem) {
    ServiceCall.Parameters parameters = call.parameters();
    dispatcher.releaseReservation(parameters.team());
    callCompleter.failNotRun(
        call, 503, "not-claimed", "the key could not be claimed: " + problem.message());
    return false;
  }

  private boolean handleClaimResult(
      ServiceCall call, ServiceDispatcher dispatcher, ClaimResult claimResult) {
    if (claimResult.getStatus() == ClaimResult.Status.GRANTED) {
      call.markClaimed();
      dispatcher.enqueue(call);
      return true;
    }
    dispatcher.releaseReservation(call.parameters().team());
    switch (claimResult.getStatus()) {
      case COMPLETED -> callCompleter.replay(call, claimResult.getOutcome());
      case IN_PROGRESS ->
          callCompleter.rejectConflict(
              call,
              Outcomes.UNKNOWN,
              "in-progress",
              "a request with this key is in progress at entry " + claimResult.getHolderInstance());
      case FINGERPRINT_MISMATCH ->
          callCompleter.rejectConflict(
              call, Outcomes.NOT_RUN, "key-reused", "the key was used with another request");
      case EXPIRED ->
          callCompleter.failNotRun(call, 410, "key-expired", "the key is older than 24 hours");
      case FULL ->
          callCompleter.failNotRun(call, 503, "claims-full", "the team holds too many claims");
      default -> callCompleter.failNotRun(call, 503, "not-claimed", "control returned no result");
    }
    return false;
  }

  // -- attempts

  private void startAttempt(ServiceCall call, MinionState minion) {
    ServiceDispatcher dispatcher = dispatcherFor(call.parameters().service());
    Span span = tracer.startChildSpan("entry.attempt", call.context());
    span.setAttribute("hickoryspar.minion", minion.id());
    Attempt attempt =
        new Attempt(
            call,
            minion,
            dispatcher.maxConnections(minion),
            timer,
            () -> dispatcher.maySend(call, minion),
            span,
            RequestTracer.traceParent(span),
            this::onAttemptEnd);
    attempt.start(attemptTimeoutMillis(call));
  }

  /**
   * Returns the timeout of the next attempt; an idempotent request reserves half of its remaining
   * time for another attempt.
   */
  private long attemptTimeoutMillis(ServiceCall call) {
    long remainingMillis = Math.max(1, call.parameters().deadlineMillis() - nowMillis());
    return call.parameters().idempotent()
        ? Math.min(remainingMillis, Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, remainingMillis / 2))
        : remainingMillis;
  }

  private void onAttemptEnd(Attempt attempt, Attempt.End end) {
    ServiceCall call = attempt.call();
    ServiceDispatcher dispatcher = dispatcherFor(call.parameters().service());
    dispatcher.handleAttemptEnd(attempt.minion(), healthSignal(attempt, end));
    switch (end) {
      case ANSWERED -> handleResponse(attempt, dispatcher);
      case NOT_SENT, REFUSED -> handleUnsent(attempt, end, dispatcher);
      case LOST -> {
        call.markMayHaveRun();
        if (call.parameters().idempotent() && tryAcquireRetry(call, true)) {
          dispatcher.requeue(call);
        } else if (attempt.isTimedOut()) {
          callCompleter.failUnknown(call, "timeout", "the minion did not respond in time");
        } else {
          callCompleter.failUnknown(
              call, "answer-lost", "the minion returned no complete response");
        }
      }
      case BROKEN -> callCompleter.abort(call, "answer-broken");
      default -> callCompleter.abort(call, "caller-gone");
    }
    dispatcher.dispatch();
  }

  private void handleResponse(Attempt attempt, ServiceDispatcher dispatcher) {
    ServiceCall call = attempt.call();
    ResponseRelay relay = attempt.relay();
    boolean gatewayError = isGatewayError(relay);
    if (gatewayError
        && call.parameters().idempotent()
        && !relay.isStreaming()
        && dispatcher.hasUntriedMinion(call)
        && tryAcquireRetry(call, true)) {
      call.markMayHaveRun();
      dispatcher.requeue(call);
    } else {
      callCompleter.respond(call, relay);
    }
  }

  /** Retries or fails a request that was not sent or that the minion refused. */
  private void handleUnsent(Attempt attempt, Attempt.End end, ServiceDispatcher dispatcher) {
    ServiceCall call = attempt.call();
    boolean sendPrevented = end == Attempt.End.NOT_SENT && !attempt.isConnectFailed();
    if (nowMillis() < call.parameters().deadlineMillis()
        && (sendPrevented
            || (dispatcher.hasUntriedMinion(call)
                && tryAcquireRetry(call, end == Attempt.End.REFUSED)))) {
      dispatcher.requeue(call);
    } else if (call.mayHaveRun()) {
      callCompleter.failUnknown(call, "answer-lost", "an earlier attempt may have run");
    } else if (end == Attempt.End.REFUSED) {
      callCompleter.failNotRun(call, 503, "refused", "the minion did not run the request");
    } else if (nowMillis() >= call.parameters().deadlineMillis()) {
      callCompleter.failNotRun(
          call, 503, "deadline", "the deadline passed before the request was sent");
    } else {
      callCompleter.failNotRun(call, 503, "unreachable", "no minion could be reached");
    }
  }

  private boolean tryAcquireRetry(ServiceCall call, boolean useBudget) {
    if (call.attemptCount() >= MAX_ATTEMPTS || nowMillis() >= call.parameters().deadlineMillis()) {
      return false;
    }
    boolean allowed = !useBudget || retryBudget.tryAcquire(nowMillis());
    shared.metrics().recordRetry(call.parameters().service(), allowed);
    return allowed;
  }

  private ServiceDispatcher.HealthSignal healthSignal(Attempt attempt, Attempt.End end) {
    return switch (end) {
      case ANSWERED ->
          isGatewayError(attempt.relay())
              ? ServiceDispatcher.HealthSignal.BAD
              : ServiceDispatcher.HealthSignal.GOOD;
      case NOT_SENT ->
          attempt.isConnectFailed()
              ? ServiceDispatcher.HealthSignal.BAD
              : ServiceDispatcher.HealthSignal.NEUTRAL;
      case CALLER_GONE -> ServiceDispatcher.HealthSignal.NEUTRAL;
      case LOST ->
          attempt.isTimedOut()
                  && nowMillis() - attempt.call().parameters().arrivalMillis()
                      < MIN_COUNTED_TIMEOUT_MILLIS
              ? ServiceDispatcher.HealthSignal.NEUTRAL
              : ServiceDispatcher.HealthSignal.BAD;
      case REFUSED, BROKEN -> ServiceDispatcher.HealthSignal.BAD;
    };
  }

  private static boolean isGatewayError(ResponseRelay relay) {
    int status = relay.minionResponse().getStatus();
    return status >= 502 && status <= 504;
  }

  /** Fails a request that was removed from the queue or not claimed before its deadline. */
  private void reject(ServiceCall call, String code) {
    if (call.mayHaveRun()) {
      callCompleter.failUnknown(call, code, "an earlier attempt may have run");
    } else {
      callCompleter.failNotRun(call, 503, code, "the request was not sent: " + code);
    }
  }

  // -- periodic work

  /**
   * Dispatches queued requests, rejects expired ones and updates the metrics.
   *
   * @param probeConnections whether to close or probe idle connections as well
   */
  void tick(boolean probeConnections) {
    dispatchers.values().forEach(dispatcher -> dispatcher.tick(probeConnections));
  }

  void dispatchAll() {
    dispatchers.values().forEach(ServiceDispatcher::dispatch);
  }

  Map<String, Integer> slotDemands() {
    Map<String, Integer> demands = new TreeMap<>();
    dispatchers.values().forEach(dispatcher -> dispatcher.addSlotDemands(demands));
    return demands;
  }

  private ServiceDispatcher dispatcherFor(String service) {
    return dispatchers.computeIfAbsent(
        service,
        serviceName ->
            new ServiceDispatcher(
                serviceName, queueCapacity, shared, this::startAttempt, this::reject));
  }

  private long nowMillis() {
    return shared.monotonicMillis().getAsLong();
  }
}
