package org.hickoryspar.node.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.zip.DeflaterOutputStream;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.ReplicationMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EnvelopeCompressionTest {

  private static final int QUEUES = 2_800;

  /** A whole configuration repeats the same fields for each queue. */
  private static final int MIN_COMPRESSION_RATIO = 4;

  // -- encode

  @DataProvider
  public Object[][] peers() {
    return new Object[][] {{true, MIN_COMPRESSION_RATIO}, {false, 1}};
  }

  /**
   * Guards against a link between regions that is filled with whole configurations, so that what is
   * read from it is outdated when it arrives.
   */
  @Test(dataProvider = "peers")
  public void shouldShrinkWholeConfigurationsWhenPeerAcceptsIt(boolean accepts, int ratio) {
    EmbeddedChannel channel = channel();
    receiveHello(channel, accepts);
    Envelope append = append(catalog());

    channel.writeOutbound(append);

    int sentBytes = 0;
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      sentBytes += part.readableBytes();
      part.release();
    }
    int sizeBytes = append.getSerializedSize();
    assertTrue(sentBytes * ratio <= sizeBytes + Integer.BYTES, sentBytes + " of " + sizeBytes);
    assertEquals(sentBytes < sizeBytes, accepts);
  }

  @Test
  public void shouldNotCompressSmallEnvelopes() {
    EmbeddedChannel channel = new EmbeddedChannel(new EnvelopeCompression());
    channel.writeInbound(hello(true));
    Envelope small = Envelope.newBuilder().setCorrelationId(7).build();

    channel.writeOutbound(small);

    assertEquals(channel.readOutbound(), small);
  }

  // -- decode

  @Test
  public void shouldRestoreCompressedEnvelopes() {
    EmbeddedChannel sender = new EmbeddedChannel(new EnvelopeCompression());
    sender.writeInbound(hello(true));
    Envelope append = append(catalog());
    sender.writeOutbound(append);
    Envelope sent = sender.readOutbound();
    assertFalse(sent.getCompressed().isEmpty());

    EmbeddedChannel receiver = new EmbeddedChannel(new EnvelopeCompression());
    receiver.writeInbound(sent);

    assertEquals(receiver.readInbound(), append);
  }

  /** Guards against a small message that fills the memory. */
  @Test
  public void shouldRefuseEnvelopeThatIsTooLargeWhenDecompressed() throws IOException {
    Envelope huge = compressed(new byte[2 * PeerPipeline.MAX_FRAME_BYTES]);
    EmbeddedChannel receiver = new EmbeddedChannel(new EnvelopeCompression());

    assertThrows(DecoderException.class, () -> receiver.writeInbound(huge));
  }

  @Test
  public void shouldRefuseMalformedBytes() {
    Envelope malformed =
        Envelope.newBuilder().setCompressed(ByteString.copyFromUtf8("not compressed")).build();
    EmbeddedChannel receiver = new EmbeddedChannel(new EnvelopeCompression());

    assertThrows(DecoderException.class, () -> receiver.writeInbound(malformed));
  }

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(new PeerPipeline(ChannelInboundHandlerAdapter::new));
  }

  private static void receiveHello(EmbeddedChannel channel, boolean accepts) {
    byte[] bytes = hello(accepts).toByteArray();
    channel.writeInbound(channel.alloc().buffer().writeInt(bytes.length).writeBytes(bytes));
  }

  private static Envelope hello(boolean acceptsCompression) {
    return Envelope.newBuilder()
        .setHello(Hello.newBuilder().setAcceptsCompression(acceptsCompression))
        .build();
  }

  private static Catalog catalog() {
    Catalog.Builder catalog = Catalog.newBuilder().setVersion(1);
    for (int i = 0; i < QUEUES; i++) {
      catalog.addQueues(
          Queue.newBuilder()
              .setName("r-" + Integer.toString(i * 7_919, 36))
              .setHost("host" + i % 16 + ".example")
              .setPathPrefix("/" + Integer.toString(i * 104_729, 36) + "/")
              .setService("pump-diagnostics")
              .setTimeoutMillis(3_000)
              .setTargetCompletionMillis(1_200));
    }
    return catalog.build();
  }

  private static Envelope append(Catalog catalog) {
    ByteString command =
        Command.newBuilder()
            .setCatalogChange(CatalogChange.newBuilder().setCatalog(catalog))
            .build()
            .toByteString();
    return Envelope.newBuilder()
        .setReplication(
            ReplicationMessage.newBuilder()
                .setAppendRequest(
                    AppendRequest.newBuilder()
                        .addEntries(LogEntry.newBuilder().setIndex(2).setCommand(command))))
        .build();
  }

  private static Envelope compressed(byte[] bytes) throws IOException {
    ByteString.Output output = ByteString.newOutput();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(output)) {
      deflater.write(bytes);
    }
    return Envelope.newBuilder().setCompressed(output.toByteString()).build();
  }
}
