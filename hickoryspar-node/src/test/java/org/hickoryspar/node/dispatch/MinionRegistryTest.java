package org.hickoryspar.node.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.protocol.Acknowledgement;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MinionRegistryTest {

  private final List<MinionReport> forwarded = new CopyOnWriteArrayList<>();
  private final AtomicLong nowMillis = new AtomicLong();
  private Closer closer = Closer.create();
  private MinionRegistry registry;

  @BeforeMethod
  void createRegistryOfLeader() {
    closer = Closer.create();
    forwarded.clear();
    nowMillis.set(1_000_000);
    EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    closer.register(() -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    closer.register(timer::shutdownNow);
    ControlPeers peers =
        new ControlPeers(
            new PeerIdentity("test", "control", 1), eventLoops, "", InstanceIds::socketAddress);
    closer.register(peers::close);
    peers.recordLeader("control", 1);
    registry =
        new MinionRegistry(
            new LeaderClient(
                peers,
                "control",
                this::receive,
                timer,
                (call, result, summary) -> {},
                nowMillis::get,
                new CallIds(new SecureRandom())),
            nowMillis::get);
  }

  @AfterMethod(alwaysRun = true)
  void close() throws IOException {
    closer.close();
  }

  private CompletableFuture<Result<Envelope.Builder>> receive(Envelope call) {
    forwarded.addAll(call.getMinionReports().getReportsList());
    return CompletableFuture.completedFuture(
        Result.success(
            Envelope.newBuilder().setAcknowledgement(Acknowledgement.getDefaultInstance())));
  }

  private static MinionReport report(long bornMillis, long sequence) {
    return MinionReport.newBuilder()
        .setLife(life(bornMillis))
        .setSequence(sequence)
        .setAddress("127.0.0.1:1")
        .build();
  }

  private static MinionLife life(long bornMillis) {
    return MinionLife.newBuilder().setMinionId("m1").setBornMillis(bornMillis).build();
  }

  // -- handleLeave

  /** Guards against a leave that is applied to a later life than the one that announced it. */
  @Test
  public void shouldNameLifeThatLeavesWhenItHasReported() {
    registry.handleReport(report(5, 1)).join();
    assertTrue(registry.handleLeave("m1").join());
    assertEquals(forwarded.get(1).getLife(), life(5));
    assertTrue(forwarded.get(1).getLeaving());
  }

  /** Guards against a leave that is attributed to a life although none has reported. */
  @Test
  public void shouldNameNoLifeWhenLeavingMinionHasNotReported() {
    assertTrue(registry.handleLeave("m1").join());
    assertEquals(forwarded.get(0).getLife(), life(0));
  }
}
