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
  private static final int DIAL_TIMEOUT_MILLIS = 300;

  private static final long REDIAL_MILLIS = 100;

  private final PeerIdentity identity;
  private final EventLoopGroup eventLoops;
  private final String peerId;
  private final InetSocketAddress address;
  private final PeerHandler handler;
  private final AtomicLong correlationIds = new AtomicLong();
  private final Map<Long, CompletableFuture<Result<Envelope>>> pending = new ConcurrentHashMap<>();
  private volatile @Nullable Channel ready;
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
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_TIMEOUT_MILLIS)
        .handler(new PeerPipeline(() -> new OutboundConnection(this, identity, handler)))
        .connect(address)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                redial();
              }
            });
  }

  /**
   * Returns whether requests can be sent now.
   *
   * @return true after the peer has accepted this process
   */
  public boolean isReady() {
    return ready != null;
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
    Channel channel = ready;
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
    Channel channel = ready;
    if (channel == null) {
      return CompletableFuture.completedFuture(
          Result.failure("unavailable", "no connection to " + peerId));
    }
    long id = correlationIds.incrementAndGet();
    CompletableFuture<Result<Envelope>> answer = new CompletableFuture<>();
    pending.put(id, answer);
    answer.whenComplete((result, error) -> pending.remove(id));
    channel
        .writeAndFlush(request.setCorrelationId(id).build())
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                answer.complete(
                    Result.failure(
                        "unknown", "sending to " + peerId + " failed: " + written.cause()));
              }
            });
    if (ready != channel) {
      // The connection was lost after the request was registered, possibly after the sweep.
      answer.complete(Result.failure("unknown", "connection to " + peerId + " was lost"));
    }
    return answer.completeOnTimeout(
        Result.failure("unknown", "no answer from " + peerId + " in " + timeoutMillis + " ms"),
        timeoutMillis,
        TimeUnit.MILLISECONDS);
  }

  void accepted(Channel channel, Hello hello) {
    peer = hello;
    ready = channel;
    if (closed) {
      channel.close();
    }
    EventLogger.log(TransportEvent.CONNECTED, peerId, address);
  }

  void answered(Envelope answer) {
    CompletableFuture<Result<Envelope>> waiting = pending.get(answer.getCorrelationId());
    if (waiting != null) {
      waiting.complete(Result.success(answer));
    }
  }

  void lost(Channel channel, String reason) {
    if (ready == channel) {
      ready = null;
      EventLogger.log(TransportEvent.DISCONNECTED, peerId, reason);
      for (CompletableFuture<Result<Envelope>> waiting : pending.values()) {
        waiting.complete(Result.failure("unknown", "connection to " + peerId + " was lost"));
      }
    }
    redial();
  }

  private void redial() {
    if (!closed && !eventLoops.isShuttingDown()) {
      eventLoops.schedule(this::connect, REDIAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void close() {
    closed = true;
    Channel channel = ready;
    if (channel != null) {
      channel.close();
    }
  }
}
