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

/** Serves runs, counts them, and applies the faults. */
final class MinionHandler extends Handler.Abstract {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String REQUEST_ID = "Hickoryspar-Request-Id";
  private static final int PIECE_BYTES = 32_768;

  private final String minionId;
  private final ServerConnector connector;
  private final Runnable onDeath;
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Set<EndPoint> swallowed = ConcurrentHashMap.newKeySet();
  private volatile Faults faults = Faults.NONE;

  MinionHandler(String minionId, ServerConnector connector, Runnable onDeath) {
    this.minionId = minionId;
    this.connector = connector;
    this.onDeath = onDeath;
  }

  Map<String, Integer> runs() {
    return Collections.unmodifiableMap(new TreeMap<>(runs));
  }

  void setFaults(Faults next) {
    swallowed.clear();
    if (next.swallowExisting()) {
      swallowed.addAll(connector.getConnectedEndPoints());
    }
    faults = next;
    EventLogger.log(MinionEvent.FAULTS, minionId, next);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    request.addIdleTimeoutListener(timeout -> false);
    String path = Request.getPathInContext(request);
    if (swallowed.contains(endPoint(request)) && !path.equals("/faults")) {
      return true;
    }
    switch (request.getMethod() + " " + path) {
      case "GET /livez" -> reply(response, callback, 200, "alive".getBytes(StandardCharsets.UTF_8));
      case "GET /runs" -> reply(response, callback, 200, MAPPER.writeValueAsBytes(runs()));
      case "POST /faults" -> faults(request, response, callback);
      default -> {
        if (request.getMethod().equals("POST") && path.startsWith("/run/")) {
          run(request, response, callback);
        } else {
          reply(response, callback, 404, new byte[0]);
        }
      }
    }
    return true;
  }

  private void faults(Request request, Response response, Callback callback) throws Exception {
    byte[] body = read(request);
    try {
      setFaults(MAPPER.readValue(body, Faults.class));
      reply(response, callback, 200, "{}".getBytes(StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      reply(response, callback, 400, e.getOriginalMessage().getBytes(StandardCharsets.UTF_8));
    }
  }

  private void run(Request request, Response response, Callback callback) throws Exception {
    Faults now = faults;
    byte[] body = read(request);
    if (now.refuseAll()) {
      response.getHeaders().put(REQUEST_ID, requestId(request));
      response.getHeaders().put("Hickoryspar-Outcome", "not-run");
      reply(response, callback, 503, new byte[0]);
      return;
    }
    String key = request.getHeaders().get("Idempotency-Key");
    runs.merge(key == null ? "" : key, 1, Integer::sum);
    if (now.neverAnswer()) {
      return;
    }
    if (now.lateMillis() > 0) {
      request
          .getComponents()
          .getScheduler()
          .schedule(
              () -> answer(now, request, body, response, callback),
              now.lateMillis(),
              TimeUnit.MILLISECONDS);
    } else {
      answer(now, request, body, response, callback);
    }
  }

  private void answer(
      Faults now, Request request, byte[] body, Response response, Callback callback) {
    long size = now.answerBytes() > 0 ? now.answerBytes() : body.length;
    byte[] pattern = body.length > 0 && now.answerBytes() == 0 ? body : pattern();
    String id = now.wrongRequestId() ? "00000000-another-request" : requestId(request);
    response.setStatus(now.failStatus() == 0 ? 200 : now.failStatus());
    response.getHeaders().put(REQUEST_ID, id);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/octet-stream");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, size);
    boolean half = now.dieHalfway() || now.breakHalfway();
    Callback then =
        half
            ? Callback.from(
                () -> {
                  if (now.dieHalfway()) {
                    onDeath.run();
                  }
                  endPoint(request).close();
                })
            : now.answerTwice() ? secondAnswer(request, id, body, callback) : callback;
    new Writer(response, pattern, half ? size / 2 : size, !half, then).iterate();
  }

  /** Writes a second whole answer past the HTTP layer, which would refuse it. */
  private static Callback secondAnswer(Request request, String id, byte[] body, Callback callback) {
    String head =
        "HTTP/1.1 200 OK\r\n"
            + (REQUEST_ID + ": " + id + "\r\nContent-Length: " + body.length + "\r\n\r\n");
    byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
    ByteBuffer second = ByteBuffer.allocate(headBytes.length + body.length);
    second.put(headBytes).put(body).flip();
    return Callback.from(() -> endPoint(request).write(callback, second), callback::failed);
  }

  private static byte[] pattern() {
    byte[] bytes = new byte[PIECE_BYTES];
    for (int i = 0; i < bytes.length; i++) {
      bytes[i] = (byte) ('a' + i % 26);
    }
    return bytes;
  }

  private static byte[] read(Request request) throws Exception {
    return Content.Source.asInputStream(request).readAllBytes();
  }

  private static String requestId(Request request) {
    String id = request.getHeaders().get(REQUEST_ID);
    return id == null ? "" : id;
  }

  private static EndPoint endPoint(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  private static void reply(Response response, Callback callback, int status, byte[] body) {
    response.setStatus(status);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Writes a pattern again and again until the size is reached. */
  private static final class Writer extends IteratingCallback {
    private final Response response;
    private final byte[] pattern;
    private final boolean complete;
    private final Callback then;
    private long left;
    private boolean lastWritten;

    private Writer(Response response, byte[] pattern, long size, boolean complete, Callback then) {
      this.response = response;
      this.pattern = pattern;
      this.left = size;
      this.complete = complete;
      this.then = then;
    }

    @Override
    protected Action process() {
      if (lastWritten || (left == 0 && !complete)) {
        return Action.SUCCEEDED;
      }
      int piece = (int) Math.min(left, pattern.length);
      left -= piece;
      lastWritten = left == 0 && complete;
      response.write(lastWritten, ByteBuffer.wrap(pattern, 0, piece), this);
      return Action.SCHEDULED;
    }

    @Override
    protected void onCompleteSuccess() {
      then.succeeded();
    }

    @Override
    protected void onCompleteFailure(Throwable cause) {
      then.failed(cause);
    }
  }
}
