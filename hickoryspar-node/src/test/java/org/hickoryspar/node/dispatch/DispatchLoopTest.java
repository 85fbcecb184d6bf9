package org.hickoryspar.node.dispatch;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.LeaderLog;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.ServicePolicy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DispatchLoopTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private static final String SERVICE = "service";

  private static final int MANY_MINIONS = 350;

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

  private final LinkedBlockingQueue<Long> renewalTokens = new LinkedBlockingQueue<>();
  private final AtomicInteger sessions = new AtomicInteger();
  private volatile List<CompletableFuture<Result<String>>> results = List.of();
  private volatile Runnable onFirstRenewal = () -> {};
  private LeaderLog log;
  private DispatchLoop loop;

  @BeforeMethod
  void start() {
    log = new LeaderLog();
    renewalTokens.clear();
    sessions.set(0);
    results = List.of();
    onFirstRenewal = () -> {};
    loop =
        new DispatchLoop(
            stateWithService(),
            new Proposer(log, System::currentTimeMillis),
            new UnresponsiveMinionClient(),
            SETTINGS,
            new DecisionTelemetry(new PrometheusRegistry()),
            () -> System.nanoTime() / 1_000_000);
    loop.addListener(dispatcher -> sessions.incrementAndGet());
    loop.start();
  }

  private static ControlState stateWithService() {
    ControlState state = new ControlState();
    state
        .catalog()
        .apply(
            CatalogChange.newBuilder()
                .setCatalog(
                    Catalog.newBuilder()
                        .setVersion(1)
                        .addServices(ServicePolicy.newBuilder().setName(SERVICE)))
                .build());
    return state;
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    loop.close();
  }

  /**
   * Guards against a start of an earlier session that reaches its minion late, after the current
   * session has allocated the resources to another task. The minion can reject the start only
   * because of its lower fencing token.
   */
  @Test
  public void shouldUseAHigherFencingTokenWhenANewSessionStarts() throws Exception {
    log.status = LeaderLog.statusOf(3, true);
    long first = awaitRenewalToken();
    log.status = LeaderLog.statusOf(3, false);
    await().atMost(TIMEOUT).until(() -> !hasSession());
    log.status = LeaderLog.statusOf(3, true);
    long second = awaitRenewalToken();
    log.status = LeaderLog.statusOf(4, true);
    await().atMost(TIMEOUT).until(() -> sessions.get() == 3);
    long third = awaitRenewalToken();

    assertTrue(first < second, first + " " + second);
    assertTrue(second < third, second + " " + third);
  }

  /** Guards against a task whose result never completes because it or an earlier task throws. */
  @Test
  public void shouldCompleteAllTasksWhenOneFails() throws Exception {
    log.status = LeaderLog.statusOf(3, true);
    await().atMost(TIMEOUT).until(this::hasSession);
    loop.execute(
        () -> {
          CompletableFuture<Result<String>> failing =
              loop.submit(
                  dispatcher -> {
                    throw new IllegalStateException("failure of the dispatcher");
                  });
          CompletableFuture<Result<String>> next =
              loop.submit(dispatcher -> Result.success("next"));
          results = List.of(failing, next);
        });
    await().atMost(TIMEOUT).until(() -> results.size() == 2);

    Result<String> failed = results.get(0).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    Result<String> next = results.get(1).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertEquals(failed.problem().orElseThrow().code(), "not-leader");
    assertTrue(next.problem().isEmpty(), next.toString());
    await().atMost(TIMEOUT).until(() -> sessions.get() == 2);
  }

  /** Guards against an error, which is no exception, that ends the thread of the decisions. */
  @Test
  public void shouldStartANewSessionWhenATaskFailsWithAnError() throws Exception {
    log.status = LeaderLog.statusOf(3, true);
    await().atMost(TIMEOUT).until(this::hasSession);

    CompletableFuture<Result<String>> failing =
        loop.submit(
            dispatcher -> {
              throw new StackOverflowError("failure of the dispatcher");
            });

    Result<String> failed = failing.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertEquals(failed.problem().orElseThrow().code(), "not-leader");
    await().atMost(TIMEOUT).until(() -> sessions.get() == 2);
    await().atMost(TIMEOUT).until(this::hasSession);
  }

  /** Guards against one minion that no order can be sent to and that ends session after session. */
  @Test
  public void shouldKeepItsSessionWhenAnOrderCannotBeSent() throws Exception {
    log.status = LeaderLog.statusOf(3, true);
    await().atMost(TIMEOUT).until(this::hasSession);

    report("unusable");
    awaitRenewalToken();

    assertEquals(sessions.get(), 1);
  }

  /**
   * Guards against the ends that the first minions list, and new work, waiting until the leases of
   * all minions are renewed.
   */
  @Test
  public void shouldHandleEventsBeforeAllRenewalsAreSentWhenManyAreDue() throws Exception {
    log.status = LeaderLog.statusOf(3, true);
    await().atMost(TIMEOUT).until(this::hasSession);
    CompletableFuture<Integer> sentWhenFirstEventIsHandled = new CompletableFuture<>();
    onFirstRenewal =
        () -> loop.execute(() -> sentWhenFirstEventIsHandled.complete(renewalTokens.size()));

    loop.submit(
            dispatcher -> {
              for (int i = 0; i < MANY_MINIONS; i++) {
                dispatcher.handleReport(reportOf("m" + i), System.nanoTime() / 1_000_000);
              }
              return Result.success("reported");
            })
        .get();

    int sent = sentWhenFirstEventIsHandled.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertTrue(sent < MANY_MINIONS / 2, sent + " renewals were sent first");
    await().atMost(TIMEOUT).until(() -> renewalTokens.size() == MANY_MINIONS);
  }

  private boolean hasSession() throws Exception {
    return loop.submit(dispatcher -> Result.success("deciding")).get().problem().isEmpty();
  }

  // A session sends a renewal to each new minion immediately.
  private long awaitRenewalToken() throws Exception {
    await().atMost(TIMEOUT).until(this::hasSession);
    renewalTokens.clear();
    report("m1");
    Long token = renewalTokens.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    assertTrue(token != null, "no renewal was sent");
    return token;
  }

  private void report(String address) throws Exception {
    loop.submit(
            dispatcher -> {
              dispatcher.handleReport(reportOf(address), System.nanoTime() / 1_000_000);
              return Result.success("reported");
            })
        .get();
  }

  private static MinionReport reportOf(String address) {
    return MinionReport.newBuilder()
        .setLife(MinionLife.newBuilder().setMinionId(address).setBornMillis(1))
        .setSequence(1)
        .setService(SERVICE)
        .setAddress(address)
        .build();
  }

  /** Records the fencing tokens of renewals and never responds; throws for one address. */
  private final class UnresponsiveMinionClient implements MinionClient {

    @Override
    public CompletableFuture<Result<RenewalResponse>> renew(Order.Renew order, long fencingToken) {
      if (order.target().address().equals("unusable")) {
        throw new IllegalArgumentException("unusable address");
      }
      renewalTokens.add(fencingToken);
      if (renewalTokens.size() == 1) {
        onFirstRenewal.run();
      }
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<OrderOutcome> start(Order.Start order, long fencingToken) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<OrderOutcome> stop(Order.Stop order, long fencingToken) {
      return new CompletableFuture<>();
    }
  }
}
