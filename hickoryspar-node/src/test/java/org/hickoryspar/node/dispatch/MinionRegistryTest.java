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
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.ServicePolicy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MinionRegistryTest {

  private static final String SERVICE = "service";

  private final List<MinionReport> forwarded = new CopyOnWriteArrayList<>();
  private final AtomicLong nowMillis = new AtomicLong();
  private Closer closer = Closer.create();
  private Dispatcher leader = newDispatcher();
  private MinionRegistry registry;

  @BeforeMethod
  void createRegistryOfLeader() {
    closer = Closer.create();
    forwarded.clear();
    nowMillis.set(1_000_000);
    leader = newDispatcher();
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

  private Dispatcher newDispatcher() {
    return new Dispatcher(
        new DispatchSettings(
            4_500,
            6_000,
            1_000,
            300,
            1_500,
            400,
            4_000,
            3,
            2_900,
            120_000,
            100,
            0,
            RunTimeSource.LEARNED),
        catalogWithService(),
        new WorkflowTable(),
        (kind, subject, details) -> {},
        nowMillis.get(),
        nowMillis.get());
  }

  private static CatalogState catalogWithService() {
    CatalogState catalog = new CatalogState();
    catalog.apply(
        CatalogChange.newBuilder()
            .setCatalog(
                Catalog.newBuilder()
                    .setVersion(1)
                    .addServices(ServicePolicy.newBuilder().setName(SERVICE)))
            .build());
    return catalog;
  }

  private CompletableFuture<Result<Envelope.Builder>> receive(Envelope call) {
    forwarded.addAll(call.getMinionReports().getReportsList());
    return CompletableFuture.completedFuture(
        Result.success(
            Envelope.newBuilder()
                .setMinionReportsReply(
                    leader.handleReports(call.getMinionReports(), nowMillis.get()))));
  }

  private static MinionReport report(long bornMillis, long sequence) {
    return MinionReport.newBuilder()
        .setLife(life(bornMillis))
        .setSequence(sequence)
        .setService(SERVICE)
        .setAddress("127.0.0.1:1")
        .build();
  }

  private static MinionLife life(long bornMillis) {
    return MinionLife.newBuilder().setMinionId("m1").setBornMillis(bornMillis).build();
  }

  // -- handleReport

  /** Guards against a minion without work after a restart of all control daemons. */
  @Test
  public void shouldForwardReportWhenLeaderKnowsOnlyARestoredOne() {
    registry.restore(MinionReports.newBuilder().addReports(report(5, 0)).build());
    registry.handleLeaderChange();
    registry.handleReport(report(5, 1)).join();
    assertEquals(forwarded.get(forwarded.size() - 1), report(5, 1));
  }

  @Test
  public void shouldNotForwardReportWhenLeaderHoldsItsState() {
    registry.handleReport(report(5, 1)).join();
    assertTrue(registry.handleReport(report(5, 2)).join());
    registry.confirm();
    assertEquals(forwarded, List.of(report(5, 1)));
  }

  // -- confirm

  /** Guards against minions without work after a new session of the same leader. */
  @Test
  public void shouldForwardReportWhenSessionOfLeaderIsNew() {
    registry.handleReport(report(5, 1)).join();
    leader = newDispatcher();
    registry.confirm();
    assertEquals(forwarded, List.of(report(5, 1), report(5, 1)));
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
