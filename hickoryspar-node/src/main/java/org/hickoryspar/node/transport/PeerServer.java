package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;
import org.jspecify.annotations.Nullable;

/** Accepts connections from other processes of the cluster. */
public final class PeerServer implements AutoCloseable {

  private final PeerIdentity identity;
  private final EventLoopGroup eventLoops;
  private final PeerHandler handler;
  private final Function<Hello, Optional<Envelope>> welcomeMessage;
  private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
  private final Set<Channel> acceptedChannels = ConcurrentHashMap.newKeySet();
  private @Nullable Channel serverChannel;

  /**
   * Creates a server without a welcome message. It does not listen yet.
   *
   * @param identity identity of this process
   * @param eventLoops event loops, owned by the caller
   * @param handler handles the messages of all connections
   */
  public PeerServer(PeerIdentity identity, EventLoopGroup eventLoops, PeerHandler handler) {
    this(identity, eventLoops, handler, peer -> Optional.empty());
  }

  /**
   * Creates a server. It does not listen yet.
   *
   * @param identity identity of this process
   * @param eventLoops event loops, owned by the caller
   * @param handler handles the messages of all connections
   * @param welcomeMessage receives the hello of each accepted peer and returns the message that is
   *     sent to it directly after the hello; must not block
   */
  public PeerServer(
      PeerIdentity identity,
      EventLoopGroup eventLoops,
      PeerHandler handler,
      Function<Hello, Optional<Envelope>> welcomeMessage) {
    this.identity = requireNonNull(identity, "identity is null");
    this.eventLoops = requireNonNull(eventLoops, "eventLoops is null");
    this.handler = requireNonNull(handler, "handler is null");
    this.welcomeMessage = requireNonNull(welcomeMessage, "welcomeMessage is null");
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param address address to bind; port 0 selects a free port
   * @return the bound address, or a problem with the code {@code "bind-failed"}
   */
  public Result<InetSocketAddress> listen(InetSocketAddress address) {
    requireNonNull(address, "address is null");
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerPipeline(
                    () ->
                        new InboundConnection(
                            identity, handler, openChannels, acceptedChannels, welcomeMessage)));
    ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
    Channel channel = bound.channel();
    if (!bound.isSuccess()) {
      return Result.failure("bind-failed", "cannot listen on " + address + ": " + bound.cause());
    }
    serverChannel = channel;
    EventLogger.log(TransportEvent.LISTENING, channel.localAddress());
    return Result.success((InetSocketAddress) channel.localAddress());
  }

  /**
   * Sends a one-way message on all accepted connections, except those whose send buffer is full.
   *
   * @param message the message
   */
  public void broadcast(Envelope message) {
    requireNonNull(message, "message is null");
    for (Channel channel : acceptedChannels) {
      if (channel.isWritable()) {
        channel.writeAndFlush(message);
      }
    }
  }

  @Override
  public void close() {
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
    for (Channel openChannel : openChannels) {
      openChannel.close();
    }
  }
}
