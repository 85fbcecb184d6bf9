package org.hickoryspar.node.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hickoryspar.protocol.Envelope;

/**
 * Initialises the channel of a connection: length-prefixed frames, protobuf, compression and idle
 * detection.
 */
final class PeerPipeline extends ChannelInitializer<Channel> {

  static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;
  static final long HEARTBEAT_INTERVAL_MILLIS = 300;

  /**
   * A connection that receives no frame for this time is closed: a middlebox may have dropped its
   * state, which TCP would detect only after minutes.
   */
  static final long READ_IDLE_TIMEOUT_MILLIS = 1_500;

  private static final int LENGTH_FIELD_BYTES = 4;

  private final Supplier<ChannelHandler> handler;

  PeerPipeline(Supplier<ChannelHandler> handler) {
    this.handler = handler;
  }

  @Override
  protected void initChannel(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES));
    pipeline.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(new EnvelopeCompression());
    pipeline.addLast(
        new IdleStateHandler(
            READ_IDLE_TIMEOUT_MILLIS, HEARTBEAT_INTERVAL_MILLIS, 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(handler.get());
  }
}
