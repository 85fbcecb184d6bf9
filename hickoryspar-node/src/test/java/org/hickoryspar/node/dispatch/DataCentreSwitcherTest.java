package org.hickoryspar.node.dispatch;

import static org.testng.Assert.assertEquals;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.control.ControlStateMachine;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.protocol.DataCentreRecord;
import org.hickoryspar.protocol.DataCentreSwitch;
import org.hickoryspar.protocol.Envelope;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DataCentreSwitcherTest {

  private static final long TIMEOUT_MILLIS = 30_000;
  private static final String NAME = "dc";

  private final Deque<Runnable> beforeSwitches = new ArrayDeque<>();
  private final AtomicBoolean callerWaits = new AtomicBoolean();
  private Closer closer = Closer.create();
  private ControlState state;
  private CatalogService service;
  private DataCentreSwitcher switcher;

  @BeforeMethod
  void startLeader() {
    closer = Closer.create();
    beforeSwitches.clear();
    callerWaits.set(true);
    EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    closer.register(() -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    closer.register(timer::shutdownNow);
    ControlPeers peers =
        new ControlPeers(
            new PeerIdentity("test", "control", 1), eventLoops, "", InstanceIds::socketAddress);
    closer.register(peers::close);
    peers.recordLeader("control", 1);
    state = new ControlState();
    ImmediateLog log = new ImmediateLog(new ControlStateMachine(state));
    service =
        new CatalogService(state, new Proposer(log, System::currentTimeMillis), log, () -> true);
    LeaderClient client =
        new LeaderClient(
            peers,
            "control",
            this::serve,
            timer,
            (call, result, summary) -> {},
            DataCentreSwitcherTest::nowMillis,
            new CallIds(new SecureRandom()));
    switcher = new DataCentreSwitcher(client, timer, DataCentreSwitcherTest::nowMillis);
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws IOException {
    closer.close();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private CompletableFuture<Result<Envelope.Builder>> serve(Envelope call) {
    Runnable before = call.getCatalogCall().hasDataCentre() ? beforeSwitches.poll() : null;
    if (before != null) {
      before.run();
    }
    return service
        .serve(call.getCatalogCall())
        .thenApply(result -> result.map(reply -> Envelope.newBuilder().setCatalogReply(reply)));
  }

  /** Carries out an order of another caller at once, as another instance would. */
  private void applyOtherOrder(boolean out) {
    state.catalog().apply(DataCentreSwitch.newBuilder().setDataCentre(NAME).setOut(out).build());
  }

  private String order(boolean out, BooleanSupplier waits) throws Exception {
    Result<DataCentreRecord> result =
        switcher
            .switchDataCentre(NAME, out, waits, TIMEOUT_MILLIS)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    return result.problem().map(Problem::code).orElse("done");
  }

  // -- switchDataCentre

  @DataProvider
  Object[][] directions() {
    return new Object[][] {{true}, {false}};
  }

  @Test(dataProvider = "directions")
  public void shouldSwitchWhenCallerWaits(boolean out) throws Exception {
    applyOtherOrder(!out);
    assertEquals(order(out, () -> true), "done");
    assertEquals(state.catalog().dataCentresOut(), out ? Set.of(NAME) : Set.of());
  }

  @DataProvider
  Object[][] departures() {
    return new Object[][] {{true, 0}, {true, 1}, {false, 0}, {false, 1}};
  }

  /**
   * Guards against an order that was read after a pause of the process and undoes a later one,
   * which another instance has acknowledged: its caller has left.
   */
  @Test(dataProvider = "departures")
  public void shouldDropOrderWhenCallerHasLeft(boolean out, int checksBefore) throws Exception {
    applyOtherOrder(!out);
    AtomicInteger checks = new AtomicInteger();
    assertEquals(order(out, () -> checks.getAndIncrement() < checksBefore), "abandoned");
    assertEquals(state.catalog().dataCentresOut(), out ? Set.of() : Set.of(NAME));
  }

  /**
   * Guards against an order that undoes a later one because the process was paused after it had
   * checked that its caller waits: the caller has left, and the order was carried out elsewhere and
   * then replaced by the opposite one.
   */
  @Test(dataProvider = "directions")
  public void shouldDropOrderWhenDataCentreWasSwitchedMeanwhile(boolean out) throws Exception {
    applyOtherOrder(!out);
    beforeSwitches.add(
        () -> {
          callerWaits.set(false);
          applyOtherOrder(out);
          applyOtherOrder(!out);
        });
    assertEquals(order(out, callerWaits::get), "abandoned");
    assertEquals(state.catalog().dataCentresOut(), out ? Set.of() : Set.of(NAME));
  }

  /** Guards against an order of a waiting caller that fails because another one came first. */
  @Test(dataProvider = "directions")
  public void shouldRepeatOrderWhenCallerStillWaitsAfterConflict(boolean out) throws Exception {
    applyOtherOrder(!out);
    beforeSwitches.add(
        () -> {
          applyOtherOrder(out);
          applyOtherOrder(!out);
        });
    assertEquals(order(out, () -> true), "done");
    assertEquals(state.catalog().dataCentresOut(), out ? Set.of(NAME) : Set.of());
  }
}
