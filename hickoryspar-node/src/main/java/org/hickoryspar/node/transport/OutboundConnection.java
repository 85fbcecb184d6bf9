package org.hickoryspar.node.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Heartbeat;
import org.hickoryspar.protocol.Hello;
import org.jspecify.annotations.Nullable;

/** Handles the connecting side of a connection: sends the hello and passes on later messages. */
final class OutboundConnection extends SimpleChannelInboundHandler<Envelope> {

  private final PeerConnection connection;
  private final PeerIdentity identity;
  private final PeerHandler handler;
  private @Nullable Hello peer;
  private String closeReason = "closed by the peer";

  OutboundConnection(PeerConnection connection, PeerIdentity identity, PeerHandler handler) {
    this.connection = connection;
    this.identity = identity;
    this.handler = handler;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    context.writeAndFlush(Envelope.newBuilder().setHello(identity.toHello()).build());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connection.handleClosed(context.channel(), closeReason);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope message) {
    Hello sender = peer;
    if (message.hasHello()) {
      peer = message.getHello();
      connection.handleAccepted(context.channel(), message.getHello());
    } else if (message.hasHelloRefused()) {
      EventLogger.log(
          TransportEvent.HELLO_REFUSED, connection.peerId(), message.getHelloRefused().getReason());
      context.close();
    } else if (message.getResponse()) {
      connection.handleResponse(message);
    } else if (sender != null && !message.hasHeartbeat()) {
      handler.handle(sender, message, ignored -> {});
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent idle) {
      if (idle.state() == IdleState.READER_IDLE) {
        closeReason = "no frame received for " + PeerPipeline.READ_IDLE_TIMEOUT_MILLIS + " ms";
        context.close();
      } else {
        context.writeAndFlush(
            Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build());
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    closeReason = cause.toString();
    context.close();
  }
}
