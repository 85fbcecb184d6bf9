package org.hickoryspar.node.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Heartbeat;
import org.hickoryspar.protocol.Hello;
import org.hickoryspar.protocol.HelloRefused;
import org.jspecify.annotations.Nullable;

/** Handles the accepting side of a connection: checks the hello and passes on later messages. */
final class InboundConnection extends SimpleChannelInboundHandler<Envelope> {

  private final PeerIdentity identity;
  private final PeerHandler handler;
  private final Set<Channel> openChannels;
  private final Set<Channel> acceptedChannels;
  private final Function<Hello, Optional<Envelope>> welcomeMessage;
  private @Nullable Hello peer;

  InboundConnection(
      PeerIdentity identity,
      PeerHandler handler,
      Set<Channel> openChannels,
      Set<Channel> acceptedChannels,
      Function<Hello, Optional<Envelope>> welcomeMessage) {
    this.identity = identity;
    this.handler = handler;
    this.openChannels = openChannels;
    this.acceptedChannels = acceptedChannels;
    this.welcomeMessage = welcomeMessage;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    openChannels.add(context.channel());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    openChannels.remove(context.channel());
    acceptedChannels.remove(context.channel());
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope message) {
    Hello sender = peer;
    if (sender == null) {
      handleHello(context, message);
      return;
    }
    if (message.hasHeartbeat()) {
      return;
    }
    try {
      handler.handle(sender, message, responder(context, message));
    } catch (RuntimeException e) {
      EventLogger.log(TransportEvent.HANDLER_FAILED, e, sender.getInstanceId());
      context.close();
    }
  }

  private void handleHello(ChannelHandlerContext context, Envelope message) {
    Hello hello = message.getHello();
    if (!message.hasHello()) {
      refuse(context, "the first message must be a hello");
      EventLogger.log(
          TransportEvent.FRAME_REFUSED,
          context.channel().remoteAddress(),
          "the first message is not a hello");
    } else if (hello.getProtocolVersion() != PeerIdentity.PROTOCOL_VERSION) {
      refuse(context, "protocol version " + hello.getProtocolVersion() + " is not supported");
      EventLogger.log(
          TransportEvent.VERSION_REFUSED,
          hello.getInstanceId(),
          hello.getProtocolVersion(),
          PeerIdentity.PROTOCOL_VERSION);
    } else if (!hello.getCluster().equals(identity.cluster())) {
      refuse(context, "this process belongs to cluster \"" + identity.cluster() + "\"");
      EventLogger.log(
          TransportEvent.CLUSTER_REFUSED,
          hello.getInstanceId(),
          hello.getCluster(),
          identity.cluster());
    } else {
      peer = hello;
      context.writeAndFlush(Envelope.newBuilder().setHello(identity.toHello()).build());
      acceptedChannels.add(context.channel());
      welcomeMessage.apply(hello).ifPresent(context::writeAndFlush);
    }
  }

  private static void refuse(ChannelHandlerContext context, String reason) {
    HelloRefused refused =
        HelloRefused.newBuilder()
            .setSupportedVersion(PeerIdentity.PROTOCOL_VERSION)
            .setReason(reason)
            .build();
    context
        .writeAndFlush(Envelope.newBuilder().setHelloRefused(refused).build())
        .addListener(ChannelFutureListener.CLOSE);
  }

  private static Consumer<Envelope.Builder> responder(
      ChannelHandlerContext context, Envelope request) {
    if (request.getCorrelationId() == 0) {
      return ignored -> {};
    }
    AtomicBoolean sent = new AtomicBoolean();
    return response -> {
      if (sent.compareAndSet(false, true)) {
        context.writeAndFlush(
            response.setCorrelationId(request.getCorrelationId()).setResponse(true).build());
      }
    };
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        context.close();
      } else if (peer != null) {
        context.writeAndFlush(
            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build());
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    EventLogger.log(
        TransportEvent.FRAME_REFUSED, context.channel().remoteAddress(), cause.toString());
    context.close();
  }
}
