package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;
import org.jspecify.annotations.Nullable;

/**
 * An outgoing connection to one peer that is dialled again when it is lost.
 *
 * <p>Failures of requests: {@code "unavailable"} when the request was not sent, {@code "unknown"}
 * when it was sent and no answer came.
 */
public final class PeerConnection implements AutoCloseable {

  /**
   * A peer without power does not refuse a connection; it is dialled again to find it back soon.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private static final long RECONNECT_DELAY_MILLIS = 100;

  private final PeerIdentity identity;
  private final EventLoopGroup eventLoops;
  private final String peerId;
  private final InetSocketAddress address;
  private final PeerHandler handler;
  private final AtomicLong correlationIds = new AtomicLong();
  private final Map<Long, CompletableFuture<Result<Envelope>>> pendingRequests =
      new ConcurrentHashMap<>();
  private volatile @Nullable Channel readyChannel;
  private volatile Hello peer = Hello.getDefaultInstance();
  private volatile boolean closed;

  /**
   * Creates a connection that is not dialled yet.
   *
   * @param identity who this process is
   * @param eventLoops event loops, owned by the caller
   * @param peerId instance at the other end
   * @param address address of the peer
   * @param handler handles one-way messages from the peer
   */
  public PeerConnection(
      PeerIdentity identity,
      EventLoopGroup eventLoops,
      String peerId,
      InetSocketAddress address,
      PeerHandler handler) {
    this.identity = requireNonNull(identity, "identity is null");
    this.eventLoops = requireNonNull(eventLoops, "eventLoops is null");
    this.peerId = requireNonNull(peerId, "peerId is null");
    this.address = requireNonNull(address, "address is null");
    this.handler = requireNonNull(handler, "handler is null");
  }

  /** Starts to dial; returns at once. */
  public void connect() {
    if (closed) {
      return;
    }
    new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new PeerPipeline(() -> new OutboundConnection(this, identity, handler)))
        .connect(address)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                scheduleReconnect();
              }
            });
  }

  /**
   * Returns whether requests can be sent now.
   *
   * @return true after the peer has accepted this process
   */
  public boolean isReady() {
    return readyChannel != null;
  }

  /**
   * Returns the instance at the other end.
   *
   * @return its identifier
   */
  public String peerId() {
    return peerId;
  }

  /**
   * Returns what the process at the other end said of itself.
   *
   * @return its latest hello; the default instance before the first one
   */
  public Hello peer() {
    return peer;
  }

  /**
   * Sends a one-way message; it is dropped when the connection is not ready.
   *
   * @param message the message, without correlation id
   */
  public void send(Envelope message) {
    requireNonNull(message, "message is null");
    Channel channel = readyChannel;
    if (channel != null && channel.isWritable()) {
      channel.writeAndFlush(message);
    }
  }

  /**
   * Sends a request.
   *
   * @param request the request; its correlation id is set here
   * @param timeoutMillis time after which the answer is given up on
   * @return the answer; never completes exceptionally
   */
  public CompletableFuture<Result<Envelope>> request(Envelope.Builder request, long timeoutMillis) {
    requireNonNull(request, "request is null");
    Channel channel = readyChannel;
    if (channel == null) {
      return CompletableFuture.completedFuture(
          Result.failure("unavailable", "no connection to " + peerId));
    }
    long id = correlationIds.incrementAndGet();
    CompletableFuture<Result<Envelope>> response = new CompletableFuture<>();
    pendingRequests.put(id, response);
    response.whenComplete((result, error) -> pendingRequests.remove(id));
    channel
        .writeAndFlush(request.setCorrelationId(id).build())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                response.complete(
                    Result.failure(
                        "unknown", "sending to " + peerId + " failed: " + written.cause()));
              }
            });
    if (readyChannel != channel) {
      // The connection was lost after the request was registered, possibly after the sweep.
      response.complete(Result.failure("unknown", "connection to " + peerId + " was lost"));
    }
    return response.completeOnTimeout(
        Result.failure("unknown", "no answer from " + peerId + " in " + timeoutMillis + " ms"),
        timeoutMillis,
        TimeUnit.MILLISECONDS);
  }

  void handleAccepted(Channel channel, Hello hello) {
    peer = hello;
    readyChannel = channel;
    if (closed) {
      channel.close();
    }
    EventLogger.log(TransportEvent.CONNECTED, peerId, address);
  }

  void handleResponse(Envelope response) {
    CompletableFuture<Result<Envelope>> pending = pendingRequests.get(response.getCorrelationId());
    if (pending != null) {
      pending.complete(Result.success(response));
    }
  }

  void handleClosed(Channel channel, String reason) {
    if (readyChannel == channel) {
      readyChannel = null;
      EventLogger.log(TransportEvent.DISCONNECTED, peerId, reason);
      for (CompletableFuture<Result<Envelope>> pending : pendingRequests.values()) {
        pending.complete(Result.failure("unknown", "connection to " + peerId + " was lost"));
      }
    }
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (!closed && !eventLoops.isShuttingDown()) {
      eventLoops.schedule(this::connect, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    closed = true;
    Channel channel = readyChannel;
    if (channel != null) {
      channel.close();
    }
  }
}
