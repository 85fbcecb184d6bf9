package org.hickoryspar.node.entry;

import com.google.common.base.Splitter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.node.http.BodyReader;
import org.hickoryspar.node.http.ByteBudget;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.observability.MetricsText;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.settings.Settings.TokenSettings;

/** Authenticates and routes the HTTP requests of callers, minions and operators. */
final class EntryHandler extends Handler.Abstract {

  /** Maximum body of a job or operator call; the fleet document of 65 teams takes 40 KB. */
  private static final int MAX_CONTROL_BODY_BYTES = 2_000_000;

  private static final int MAX_ANNOUNCEMENT_BODY_BYTES = 4_096;

  private final TokenAuthenticator authenticator;
  private final RequestForwarder requestForwarder;
  private final EndpointRegistrar endpointRegistrar;
  private final ControlForwarder controlForwarder;
  private final DrainTracker drainTracker;
  private final StartupGate startupGate;
  private final PrometheusRegistry registry;
  private final int maxRequestBodyBytes;
  private final ByteBudget bodyBudget = new ByteBudget(Runtime.getRuntime().maxMemory() / 4);

  EntryHandler(
      Settings settings,
      RequestForwarder requestForwarder,
      EndpointRegistrar endpointRegistrar,
      ControlForwarder controlForwarder,
      DrainTracker drainTracker,
      StartupGate startupGate,
      PrometheusRegistry registry) {
    super(InvocationType.NON_BLOCKING);
    this.authenticator = new TokenAuthenticator(settings.tokens());
    this.requestForwarder = requestForwarder;
    this.endpointRegistrar = endpointRegistrar;
    this.controlForwarder = controlForwarder;
    this.drainTracker = drainTracker;
    this.startupGate = startupGate;
    this.registry = registry;
    long configuredMaxBytes = settings.entry() == null ? 0 : settings.entry().maxRequestBodyBytes();
    this.maxRequestBodyBytes = (int) Math.min(configuredMaxBytes, Integer.MAX_VALUE - 8);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    drainTracker.recordRequestStart();
    Request.addCompletionListener(request, failure -> drainTracker.recordRequestEnd());
    // A request that waits for control or a minion is idle; its deadline bounds the wait. The idle
    // timeout applies only once the response is committed.
    request.addIdleTimeoutListener(timeout -> response.isCommitted());
    if (drainTracker.isDraining()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    try {
      route(request, response, callback);
    } catch (RuntimeException e) {
      EventLogger.log(
          EntryEvent.HANDLER_FAILED, e, request.getMethod(), request.getHttpURI().getPath());
      callback.failed(e);
    }
    return true;
  }

  private void route(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    switch (path) {
      case "/livez" -> Responses.sendText(response, callback, 200, "text/plain", "alive\n");
      case "/readyz" -> respondReadiness(response, callback);
      case "/metrics" -> respondMetrics(response, callback);
      default -> {
        List<String> parts = Splitter.on('/').splitToList(path.substring(1));
        if (parts.size() < 2 || !parts.get(0).equals("v1")) {
          rejectNotFound(response, callback);
        } else {
          routeApi(request, parts.subList(1, parts.size()), response, callback);
        }
      }
    }
  }

  private void routeApi(Request request, List<String> path, Response response, Callback callback) {
    String resource = path.get(0);
    switch (resource) {
      case "services" -> handleServiceRequest(request, path, response, callback);
      case "endpoints" -> handleEndpointCall(request, path, response, callback);
      case "jobs" ->
          handleControlCall(
              request,
              path,
              response,
              callback,
              controlForwarder::forwardJobCall,
              TokenAuthenticator.TEAM,
              TokenAuthenticator.OPERATOR);
      case "fleet", "exceptions", "data-centres", "status", "replicas", "leadership" ->
          handleControlCall(
              request,
              path,
              response,
              callback,
              controlForwarder::forwardOperatorCall,
              TokenAuthenticator.OPERATOR);
      default -> rejectNotFound(response, callback);
    }
  }

  private void handleControlCall(
      Request request,
      List<String> path,
      Response response,
      Callback callback,
      ControlCallHandler handler,
      String... allowedKinds) {
    authenticate(
        request,
        response,
        callback,
        token ->
            readBody(
                request,
                response,
                callback,
                MAX_CONTROL_BODY_BYTES,
                body ->
                    handler.handle(token, request, withApiVersion(path), body, response, callback)),
        allowedKinds);
  }

  private static List<String> withApiVersion(List<String> path) {
    return Stream.concat(Stream.of("v1"), path.stream()).toList();
  }

  private void handleServiceRequest(
      Request request, List<String> path, Response response, Callback callback) {
    if (path.size() != 3 || !path.get(2).equals("requests")) {
      rejectNotFound(response, callback);
    } else if (!request.getMethod().equals("POST")) {
      Responses.sendError(
          response, callback, 405, "not-run", "method", "only POST is supported here");
    } else {
      authenticate(
          request,
          response,
          callback,
          token ->
              readBody(
                  request,
                  response,
                  callback,
                  maxRequestBodyBytes,
                  body ->
                      requestForwarder.forward(
                          token.name(), path.get(1), request, body, response, callback)),
          TokenAuthenticator.TEAM);
    }
  }

  private void handleEndpointCall(
      Request request, List<String> path, Response response, Callback callback) {
    String operation = path.size() == 2 ? path.get(1) : "";
    if (!request.getMethod().equals("POST")
        || !(operation.equals("announce") || operation.equals("leave"))) {
      rejectNotFound(response, callback);
      return;
    }
    authenticate(
        request,
        response,
        callback,
        token ->
            readBody(
                request,
                response,
                callback,
                MAX_ANNOUNCEMENT_BODY_BYTES,
                body ->
                    endpointRegistrar.handleAnnouncement(
                        token.name(), operation.equals("leave"), body, response, callback)),
        TokenAuthenticator.MINION);
  }

  private void authenticate(
      Request request,
      Response response,
      Callback callback,
      Consumer<TokenSettings> onAuthenticated,
      String... allowedKinds) {
    Optional<TokenSettings> token = authenticator.authenticate(request, allowedKinds);
    if (token.isEmpty()) {
      Responses.sendError(
          response, callback, 401, "not-run", "token", "missing or unknown bearer token");
    } else {
      onAuthenticated.accept(token.get());
    }
  }

  private void readBody(
      Request request,
      Response response,
      Callback callback,
      int maxBytes,
      Consumer<byte[]> onBody) {
    BodyReader.read(
        request,
        new BodyReader.Limits(maxBytes, bodyBudget),
        onBody,
        () -> rejectTooLarge(response, callback, maxBytes),
        () ->
            Responses.sendError(
                response,
                callback,
                429,
                "not-run",
                "no-memory",
                "no memory left for request bodies"),
        callback::failed);
  }

  private void respondReadiness(Response response, Callback callback) {
    if (drainTracker.isDraining()) {
      Responses.sendText(response, callback, 503, "text/plain", "draining\n");
    } else if (!startupGate.isOpen()) {
      Responses.sendText(
          response, callback, 503, "text/plain", "waiting for configuration and endpoints\n");
    } else {
      Responses.sendText(response, callback, 200, "text/plain", "ready\n");
    }
  }

  private void respondMetrics(Response response, Callback callback) {
    Responses.sendText(
        response,
        callback,
        200,
        MetricsText.CONTENT_TYPE,
        new String(MetricsText.render(registry), StandardCharsets.UTF_8));
  }

  private static void rejectTooLarge(Response response, Callback callback, int maxBytes) {
    Responses.sendError(
        response, callback, 413, "not-run", "too-large", "the body exceeds " + maxBytes + " bytes");
  }

  private static void rejectNotFound(Response response, Callback callback) {
    Responses.sendError(response, callback, 404, "not-run", "no-such-path", "no such path");
  }

  /** Forwards a job call or an operator call to control. */
  @FunctionalInterface
  private interface ControlCallHandler {

    void handle(
        TokenSettings token,
        Request request,
        List<String> path,
        byte[] body,
        Response response,
        Callback callback);
  }
}
