package org.hickoryspar.node.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.LeaderLog;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionReports;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LeaderServicesTest {

  private static final long TIMEOUT_SECONDS = 30;

  private static final DispatchSettings SETTINGS =
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
          RunTimeSource.LEARNED);

  private static final Envelope CALL =
      Envelope.newBuilder().setMinionReports(MinionReports.getDefaultInstance()).build();

  private LeaderLog log;
  private ControlState state;
  private Proposer proposer;
  private DispatchLoop loop;

  @BeforeMethod
  void start() {
    log = new LeaderLog();
    state = new ControlState();
    proposer = new Proposer(log, System::currentTimeMillis);
    loop =
        new DispatchLoop(
            state,
            proposer,
            new SilentMinionClient(),
            SETTINGS,
            new DecisionTelemetry(new PrometheusRegistry()),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  private LeaderServices services(long maxSessionWaitMillis) {
    return new LeaderServices(
        state,
        proposer,
        log,
        loop,
        () -> true,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        maxSessionWaitMillis);
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    loop.close();
  }

  // -- serve

  /**
   * Guards against entries that call a new leader again and again while it prepares to decide, and
   * keep it from that.
   */
  @Test
  public void shouldServeTheCallWhenTheSessionStartsAfterItArrived() throws Exception {
    log.status = LeaderLog.statusOf(1, false);
    CompletableFuture<Result<Envelope.Builder>> reply =
        services(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS)).serve(CALL);
    assertFalse(reply.isDone());

    log.status = LeaderLog.statusOf(1, true);
    loop.start();

    assertTrue(reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isSuccess());
  }

  /** Guards against a call that waits for a session that never starts. */
  @Test
  public void shouldRefuseTheCallWhenTheSessionDoesNotStart() throws Exception {
    log.status = LeaderLog.statusOf(1, false);
    Result<Envelope.Builder> reply = services(1).serve(CALL).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(reply.problem().orElseThrow().code(), "not-leader");
  }
}
