package org.hickoryspar.node.transport;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.protocol.ControlDirectory;
import org.hickoryspar.protocol.Envelope;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerServerTest {

  private static final PeerIdentity CONTROL =
      new PeerIdentity("test", "control", 1, "control/1", "dc");
  private static final PeerIdentity ENTRY = new PeerIdentity("test", "entry", 2);

  private Closer closer = Closer.create();
  private EventLoopGroup eventLoops;

  @BeforeMethod
  void startEventLoops() {
    closer = Closer.create();
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    closer.register(() -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
  }

  @AfterMethod
  void closeAll() throws IOException {
    closer.close();
  }

  /**
   * Guards against an entry that cannot reach the leader until the first periodic broadcast after
   * its start.
   */
  @Test
  void shouldSendLeaderToNewConnection() {
    ControlDirectory directory =
        ControlDirectory.newBuilder().setLeaderInstance("10.0.0.1:7000").setTerm(3).build();
    PeerServer server =
        new PeerServer(
            CONTROL,
            eventLoops,
            (from, message, reply) -> {},
            peer -> Optional.of(Envelope.newBuilder().setControlDirectory(directory).build()));
    closer.register(server::close);
    InetSocketAddress address =
        server
            .listen(new InetSocketAddress("127.0.0.1", 0))
            .fold(
                problem -> {
                  throw new AssertionError(problem);
                },
                bound -> bound);
    ControlPeers peers = new ControlPeers(ENTRY, eventLoops, "", InstanceIds::socketAddress);
    closer.register(peers::close);

    peers.connectTo("127.0.0.1:" + address.getPort(), "the test");

    await().until(() -> peers.leader().term() > 0);
    assertEquals(peers.leader(), new ControlPeers.Leader("10.0.0.1:7000", 3));
  }
}
