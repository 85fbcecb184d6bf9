package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
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
 * An outgoing connection to one peer, which is re-established when it is lost.
 *
 * <p>A request fails with {@code "unavailable"} if it was not sent, and with {@code "unknown"} if
 * it may have been sent but no response arrived.
 */
public final class PeerConnection implements AutoCloseable {

  /**
   * Short, because a host without power does not refuse connections: frequent attempts reach it
   * soon after it has restarted.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private static final long RECONNECT_DELAY_MILLIS = 100;

  private final PeerIdentity identity;
  private final EventLoopGroup eventLoops;
  private final String peerId;
  private final InetSocketAddress address;
  private final PeerHandler handler;
  private final Runnable onReady;
  private final AtomicLong correlationIds = new AtomicLong();
  private final Map<Long, CompletableFuture<Result<Envelope>>> pendingRequests =
      new ConcurrentHashMap<>();
  private volatile @Nullable Channel readyChannel;
  private volatile Hello peer = Hello.getDefaultInstance();
  private volatile boolean closed;
  private @Nullable ScheduledFuture<?> nextAttempt;

  /**
   * Creates a connection without connecting and without a listener.
   *
   * @param identity identity of this process
   * @param eventLoops event loops, owned by the caller
   * @param peerId instance identifier of the peer
   * @param address address of the peer
   * @param handler handles one-way messages from the peer
   */
  public PeerConnection(
      PeerIdentity identity,
      EventLoopGroup eventLoops,
      String peerId,
      InetSocketAddress address,
      PeerHandler handler) {
    this(identity, eventLoops, peerId, address, handler, () -> {});
  }

  /**
   * Creates a connection without connecting.
   *
   * @param identity identity of this process
   * @param eventLoops event loops, owned by the caller
   * @param peerId instance identifier of the peer
   * @param address address of the peer
   * @param handler handles one-way messages from the peer
   * @param onReady called each time the peer has accepted this process; must not block
   */
  public PeerConnection(
      PeerIdentity identity,
      EventLoopGroup eventLoops,
      String peerId,
      InetSocketAddress address,
      PeerHandler handler,
      Runnable onReady) {
    this.identity = requireNonNull(identity, "identity is null");
    this.eventLoops = requireNonNull(eventLoops, "eventLoops is null");
    this.peerId = requireNonNull(peerId, "peerId is null");
    this.address = requireNonNull(address, "address is null");
    this.handler = requireNonNull(handler, "handler is null");
    this.onReady = requireNonNull(onReady, "onReady is null");
  }

  /**
   * Starts to connect and returns immediately. Failed attempts are repeated until {@link #close}.
   */
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

  /** Connects at once if the next attempt is pending: the peer is known to be up now. */
  public void connectNow() {
    if (cancelNextAttempt()) {
      connect();
    }
  }

  private synchronized boolean cancelNextAttempt() {
    ScheduledFuture<?> pending = nextAttempt;
    nextAttempt = null;
    return pending != null && pending.cancel(false);
  }

  /**
   * Returns whether requests can be sent.
   *
   * @return true after the peer has accepted this process
   */
  public boolean isReady() {
    return readyChannel != null;
  }

  /**
   * Returns the instance identifier of the peer.
   *
   * @return the identifier given to the constructor
   */
  public String peerId() {
    return peerId;
  }

  /**
   * Returns the latest hello of the peer.
   *
   * @return the hello, or the default instance before the first one
   */
  public Hello peer() {
    return peer;
  }

  /**
   * Sends a one-way message. Drops it if the connection is not ready or its send buffer is full.
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
   * @param request the request, whose correlation id is set by this method
   * @param timeoutMillis time to wait for the response
   * @return completes with the response or a failure, never exceptionally
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
      // The connection was lost, and handleClosed may have run before the request was registered.
      response.complete(Result.failure("unknown", "connection to " + peerId + " was lost"));
    }
    return response.completeOnTimeout(
        Result.failure(
            "unknown", "no response from " + peerId + " within " + timeoutMillis + " ms"),
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
    onReady.run();
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

  private synchronized void scheduleReconnect() {
    if (!closed && !eventLoops.isShuttingDown()) {
      nextAttempt =
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
