package org.hickoryspar.standins.minion;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.hickoryspar.node.observability.EventLogger;

/** Handles the HTTP requests of a stub minion, counts the runs and injects the faults. */
final class MinionHandler extends Handler.Abstract {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String REQUEST_ID = "Hickoryspar-Request-Id";
  private static final int CHUNK_BYTES = 32_768;

  private final String minionId;
  private final ServerConnector connector;
  private final Runnable onCrash;
  private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
  private final Set<EndPoint> blackholedConnections = ConcurrentHashMap.newKeySet();
  private volatile Faults faults = Faults.NONE;

  MinionHandler(String minionId, ServerConnector connector, Runnable onCrash) {
    this.minionId = minionId;
    this.connector = connector;
    this.onCrash = onCrash;
  }

  Map<String, Integer> runCounts() {
    return Collections.unmodifiableMap(new TreeMap<>(runCounts));
  }

  void setFaults(Faults newFaults) {
    blackholedConnections.clear();
    if (newFaults.swallowExisting()) {
      blackholedConnections.addAll(connector.getConnectedEndPoints());
    }
    faults = newFaults;
    EventLogger.log(MinionEvent.FAULTS, minionId, newFaults);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    request.addIdleTimeoutListener(timeout -> false);
    String path = Request.getPathInContext(request);
    if (blackholedConnections.contains(endPoint(request)) && !path.equals("/faults")) {
      return true;
    }
    switch (request.getMethod() + " " + path) {
      case "GET /livez" ->
          respond(response, callback, 200, "alive".getBytes(StandardCharsets.UTF_8));
      case "GET /runs" -> respond(response, callback, 200, MAPPER.writeValueAsBytes(runCounts()));
      case "POST /faults" -> handleFaults(request, response, callback);
      default -> {
        if (request.getMethod().equals("POST") && path.startsWith("/run/")) {
          handleRun(request, response, callback);
        } else {
          respond(response, callback, 404, new byte[0]);
        }
      }
    }
    return true;
  }

  private void handleFaults(Request request, Response response, Callback callback)
      throws Exception {
    byte[] body = readBody(request);
    try {
      setFaults(MAPPER.readValue(body, Faults.class));
      respond(response, callback, 200, "{}".getBytes(StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      respond(response, callback, 400, e.getOriginalMessage().getBytes(StandardCharsets.UTF_8));
    }
  }

  private void handleRun(Request request, Response response, Callback callback) throws Exception {
    Faults activeFaults = faults;
    byte[] body = readBody(request);
    if (activeFaults.refuseAll()) {
      response.getHeaders().put(REQUEST_ID, requestId(request));
      response.getHeaders().put("Hickoryspar-Outcome", "not-run");
      respond(response, callback, 503, new byte[0]);
      return;
    }
    String key = request.getHeaders().get("Idempotency-Key");
    runCounts.merge(key == null ? "" : key, 1, Integer::sum);
    if (activeFaults.neverAnswer()) {
      return;
    }
    if (activeFaults.lateMillis() > 0) {
      request
          .getComponents()
          .getScheduler()
          .schedule(
              () -> respondToRun(activeFaults, request, body, response, callback),
              activeFaults.lateMillis(),
              TimeUnit.MILLISECONDS);
    } else {
      respondToRun(activeFaults, request, body, response, callback);
    }
  }

  private void respondToRun(
      Faults activeFaults, Request request, byte[] body, Response response, Callback callback) {
    long sizeBytes = activeFaults.answerBytes() > 0 ? activeFaults.answerBytes() : body.length;
    byte[] pattern = body.length > 0 && activeFaults.answerBytes() == 0 ? body : defaultPattern();
    String id = activeFaults.wrongRequestId() ? "00000000-another-request" : requestId(request);
    response.setStatus(activeFaults.failStatus() == 0 ? 200 : activeFaults.failStatus());
    response.getHeaders().put(REQUEST_ID, id);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, sizeBytes);
    boolean truncated = activeFaults.dieHalfway() || activeFaults.breakHalfway();
    Callback onWritten =
        truncated
            ? Callback.from(
                () -> {
                  if (activeFaults.dieHalfway()) {
                    onCrash.run();
                  }
                  endPoint(request).close();
                })
            : activeFaults.answerTwice() ? secondResponse(request, id, body, callback) : callback;
    new PatternWriter(
            response, pattern, truncated ? sizeBytes / 2 : sizeBytes, !truncated, onWritten)
        .iterate();
  }

  /**
   * Returns a callback that writes a second response directly to the connection, since the HTTP
   * layer would reject it.
   */
  private static Callback secondResponse(
      Request request, String id, byte[] body, Callback callback) {
    String header =
        "HTTP/1.1 200 OK\r\n"
            + (REQUEST_ID + ": " + id + "\r\nContent-Length: " + body.length + "\r\n\r\n");
    byte[] headerBytes = header.getBytes(StandardCharsets.US_ASCII);
    ByteBuffer second = ByteBuffer.allocate(headerBytes.length + body.length);
    second.put(headerBytes).put(body).flip();
    return Callback.from(() -> endPoint(request).write(callback, second), callback::failed);
  }

  private static byte[] defaultPattern() {
    byte[] bytes = new byte[CHUNK_BYTES];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) ('a' + i % 26);
    }
    return bytes;
  }

  private static byte[] readBody(Request request) throws Exception {
    return Content.Source.asInputStream(request).readAllBytes();
  }

  private static String requestId(Request request) {
    String id = request.getHeaders().get(REQUEST_ID);
    return id == null ? "" : id;
  }

  private static EndPoint endPoint(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private static void respond(Response response, Callback callback, int status, byte[] body) {
    response.setStatus(status);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Writes a byte pattern repeatedly until the size is reached. */
  private static final class PatternWriter extends IteratingCallback {
    private final Response response;
    private final byte[] pattern;
    private final boolean complete;
    private final Callback onWritten;
    private long remainingBytes;
    private boolean lastChunkWritten;

    private PatternWriter(
        Response response, byte[] pattern, long sizeBytes, boolean complete, Callback onWritten) {
      this.response = response;
      this.pattern = pattern;
      this.remainingBytes = sizeBytes;
      this.complete = complete;
      this.onWritten = onWritten;
    }

    @Override
    protected Action process() {
      if (lastChunkWritten || (remainingBytes == 0 && !complete)) {
        return Action.SUCCEEDED;
      }
      int chunkBytes = (int) Math.min(remainingBytes, pattern.length);
      remainingBytes -= chunkBytes;
      lastChunkWritten = remainingBytes == 0 && complete;
      response.write(lastChunkWritten, ByteBuffer.wrap(pattern, 0, chunkBytes), this);
      return Action.SCHEDULED;
    }

    @Override
    protected void onCompleteSuccess() {
      onWritten.succeeded();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
      onWritten.failed(cause);
    }
  }
}
