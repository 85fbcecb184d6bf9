package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickoryspar.node.observability.MetricsText;

/** Serves liveness, readiness and metrics of a control daemon over HTTP. */
public final class AdminServer implements Closeable {

  private static final int HTTP_OK = 200;
  private static final int HTTP_NOT_FOUND = 404;
  private static final int HTTP_UNAVAILABLE = 503;
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 2;

  private final PrometheusRegistry registry;
  private final BooleanSupplier ready;
  private final Server server;
  private volatile boolean draining;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address address to bind
   * @param registry metrics to serve
   * @param ready returns true while this replica knows the leader; called for each request to
   *     {@code /readyz}
   */
  public AdminServer(
      InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready) {
    this.registry = requireNonNull(registry, "registry is null");
    this.ready = requireNonNull(ready, "ready is null");
    server = new Server(new QueuedThreadPool(MAX_THREADS, MIN_THREADS));
    ServerConnector connector = new ServerConnector(server, 1, 1);
    connector.setHost(address.getAddress().getHostAddress());
    connector.setPort(address.getPort());
    server.addConnector(connector);
    server.setHandler(new AdminHandler());
  }

  void start() throws IOException {
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("cannot serve HTTP: " + e.getMessage(), e);
    }
  }

  /** Makes {@code /readyz} report not ready, so that load balancers send no more requests. */
  void drain() {
    draining = true;
  }

  @Override
  public void close() throws IOException {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IOException("cannot stop the HTTP server", e);
    }
  }

  private final class AdminHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback)
        throws IOException {
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
      ByteBuffer body =
          switch (Request.getPathInContext(request)) {
            case "/livez" -> text("ok\n");
            case "/readyz" -> {
              boolean serving = ready.getAsBoolean() && !draining;
              response.setStatus(serving ? HTTP_OK : HTTP_UNAVAILABLE);
              yield text(serving ? "ready\n" : "not ready\n");
            }
            case "/metrics" -> metrics();
            default -> {
              response.setStatus(HTTP_NOT_FOUND);
              yield text("not found\n");
            }
          };
      response.write(true, body, callback);
      return true;
    }

    private static ByteBuffer text(String text) {
      return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private ByteBuffer metrics() {
      return ByteBuffer.wrap(MetricsText.render(registry));
    }
  }
}
