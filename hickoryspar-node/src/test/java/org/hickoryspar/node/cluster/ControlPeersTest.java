package org.hickoryspar.node.cluster;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.protocol.ControlDirectory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ControlPeersTest {

  private static final String USABLE = "127.0.0.1:20999";

  private final List<InetSocketAddress> dialled = new ArrayList<>();
  private EventLoopGroup eventLoops;
  private ControlPeers peers;

  @BeforeMethod
  void create() {
    dialled.clear();
    eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    peers =
        new ControlPeers(
            new PeerIdentity("cluster", "i1", 1, "", "dc1"), eventLoops, "", this::resolve);
  }

  private InetSocketAddress resolve(String address) {
    InetSocketAddress socketAddress = InstanceIds.socketAddress(address);
    dialled.add(socketAddress);
    return socketAddress;
  }

  @AfterMethod(alwaysRun = true)
  void close() {
    peers.close();
    eventLoops.shutdownGracefully();
  }

  @DataProvider
  Object[][] unusableAddresses() {
    return new Object[][] {
      {"127.0.0.1:99999"}, {"127.0.0.1:-1"}, {"127.0.0.1:port"}, {"127.0.0.1"}, {":7000"}
    };
  }

  /** Guards against one odd address that keeps a process from following a directory. */
  @Test(dataProvider = "unusableAddresses")
  void shouldConnectToTheOthersWhenAnAddressOfADirectoryIsUnusable(String unusable) {
    peers.merge(
        ControlDirectory.newBuilder()
            .addControlAddresses(unusable)
            .addControlAddresses(USABLE)
            .setLeaderInstance(USABLE)
            .setTerm(3)
            .build(),
        "i2");

    assertEquals(dialled, List.of(InstanceIds.socketAddress(USABLE)));
    assertEquals(peers.leader(), new ControlPeers.Leader(USABLE, 3));
  }
}
