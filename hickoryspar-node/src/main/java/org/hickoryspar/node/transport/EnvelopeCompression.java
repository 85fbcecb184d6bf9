package org.hickoryspar.node.transport;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import io.netty.handler.codec.TooLongFrameException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hickoryspar.protocol.Envelope;

/**
 * Compresses large envelopes on a connection whose peer accepts it, which its hello says. A whole
 * configuration shrinks to a small part of its size; uncompressed, some of them in a row would
 * delay all other messages between two regions.
 */
final class EnvelopeCompression extends MessageToMessageCodec<Envelope, Envelope> {

  /** Smaller envelopes gain less than the processor time is worth. */
  static final int MIN_COMPRESSED_BYTES = 8 << 10;

  private boolean peerAccepts;

  @Override
  protected void encode(ChannelHandlerContext context, Envelope message, List<Object> out)
      throws IOException {
    boolean isLarge = message.getSerializedSize() >= MIN_COMPRESSED_BYTES;
    out.add(peerAccepts && isLarge ? compress(message) : message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, Envelope message, List<Object> out)
      throws IOException {
    if (message.hasHello()) {
      peerAccepts = message.getHello().getAcceptsCompression();
    }
    out.add(message.getCompressed().isEmpty() ? message : decompress(message.getCompressed()));
  }

  private static Envelope compress(Envelope message) throws IOException {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      ByteString.Output bytes = ByteString.newOutput();
      try (DeflaterOutputStream output = new DeflaterOutputStream(bytes, deflater)) {
        message.writeTo(output);
      }
      return Envelope.newBuilder().setCompressed(bytes.toByteString()).build();
    } finally {
      deflater.end();
    }
  }

  private static Envelope decompress(ByteString compressed) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (InputStream input = new InflaterInputStream(compressed.newInput())) {
      byte[] part = new byte[MIN_COMPRESSED_BYTES];
      for (int size = input.read(part); size >= 0; size = input.read(part)) {
        if (bytes.size() + size > PeerPipeline.MAX_FRAME_BYTES) {
          throw new TooLongFrameException(
              "expected an envelope of at most " + PeerPipeline.MAX_FRAME_BYTES + " bytes");
        }
        bytes.write(part, 0, size);
      }
    }
    return Envelope.parseFrom(bytes.toByteArray());
  }
}
