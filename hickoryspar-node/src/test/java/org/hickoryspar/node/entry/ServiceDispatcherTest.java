package org.hickoryspar.node.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.context.Context;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.requests.CircuitBreaker;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.Endpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Plays the dispatcher of one service without a clock and without connections. */
public class ServiceDispatcherTest {

  private static final String SERVICE = "catalogue";
  private static final String LOCAL_DATA_CENTRE = "arima";
  private static final String REMOTE_DATA_CENTRE = "chaguanas";
  private static final String REGION_DATA_CENTRE = "sangre-grande";
  private static final String FLEET_DOCUMENT =
      """
      {"dataCentres": {
        "arima": {"region": "north"},
        "sangre-grande": {"region": "north"},
        "chaguanas": {"region": "south"}}}
      """;
  private static final long DEADLINE_MILLIS = 30_000;
  private static final int SLOTS = 2;
  private static final int MAX_ATTEMPTS = 3;
  private static final long RETRY_ELSEWHERE_MILLIS = 1_000;

  private final HttpClient httpClient = new HttpClient();
  private final List<String> assigned = new ArrayList<>();
  private final List<Running> running = new ArrayList<>();
  private final Map<ServiceCall, Long> waitingSinceMillis = new LinkedHashMap<>();
  private final List<String> rejected = new ArrayList<>();
  private final Map<String, MinionState> minions = new HashMap<>();
  private EndpointTable endpointTable = new EndpointTable(1_000);
  private ServiceDispatcher dispatcher;
  private long nowMillis;

  @BeforeClass
  void startHttpClient() throws Exception {
    httpClient.start();
  }

  @AfterClass(alwaysRun = true)
  void stopHttpClient() throws Exception {
    httpClient.stop();
  }

  @BeforeMethod
  void createDispatcher() {
    assigned.clear();
    running.clear();
    waitingSinceMillis.clear();
    rejected.clear();
    minions.clear();
    nowMillis = 0;
    endpointTable = new EndpointTable(1_000);
    dispatcher = newDispatcher();
  }

  // -- a retried call whose other minions are full

  /** Guards against a retried call that holds up the queue beside free slots of its minion. */
  @Test
  public void shouldAssignOtherCallsWhileARetriedCallWaitsForAnotherMinion() {
    ServiceCall retried = failOnceBesideFullMinion(DEADLINE_MILLIS);
    enqueue(call("b", "other", DEADLINE_MILLIS));
    assertEquals(assigned, List.of("retried@m1", "running@m2", "other@m1"));
    releaseSlot("m2");
    assertEquals(assigned.get(3), "retried@m2");
    assertEquals(retried.attemptCount(), 2);
  }

  /** Guards against a retried call that waits until its deadline beside a free slot. */
  @Test
  public void shouldRetryAtATriedMinionAfterABoundedWait() {
    ServiceCall retried = failOnceBesideFullMinion(DEADLINE_MILLIS);
    dispatchAt(RETRY_ELSEWHERE_MILLIS - 1);
    assertEquals(assigned, List.of("retried@m1", "running@m2"));
    dispatchAt(RETRY_ELSEWHERE_MILLIS);
    assertEquals(assigned, List.of("retried@m1", "running@m2", "retried@m1"));
    assertEquals(retried.attemptCount(), 2);
  }

  /** Guards against a call with little time that has none left when its wait ends. */
  @Test
  public void shouldKeepHalfOfTheRemainingTimeForTheRetry() {
    failOnceBesideFullMinion(600);
    dispatchAt(299);
    assertEquals(assigned, List.of("retried@m1", "running@m2"));
    dispatchAt(300);
    assertEquals(assigned, List.of("retried@m1", "running@m2", "retried@m1"));
    assertEquals(rejected, List.of());
  }

  /**
   * Guards against a second attempt at the minion that failed while another one has a free slot.
   */
  @Test
  public void shouldPreferAnUntriedMinionAfterTheWait() {
    failOnceBesideFullMinion(DEADLINE_MILLIS);
    nowMillis = RETRY_ELSEWHERE_MILLIS;
    releaseSlot("m2");
    assertEquals(assigned, List.of("retried@m1", "running@m2", "retried@m2"));
  }

  /** Guards against a team that loses its turns because one of its calls waits for a minion. */
  @Test
  public void shouldServeTeamsInTurnBesideARetriedCall() {
    register("m1", REMOTE_DATA_CENTRE, 2);
    ServiceCall retried = call("a", "retried", DEADLINE_MILLIS);
    enqueue(retried);
    enqueue(call("a", "filler", DEADLINE_MILLIS));
    register("m2", LOCAL_DATA_CENTRE, 1);
    enqueue(call("c", "running", DEADLINE_MILLIS));
    for (String id : List.of("a1", "a2", "b1", "b2")) {
      enqueue(call(id.substring(0, 1), id, DEADLINE_MILLIS));
    }
    fail("m1", retried);
    for (int i = 0; i < 3; i++) {
      releaseSlot("m1");
    }
    assertEquals(assigned.subList(3, assigned.size()), List.of("a1@m1", "b1@m1", "a2@m1", "b2@m1"));
  }

  // -- a retried call whose other minions have an open circuit

  /** Guards against an open circuit that stops the calls of a service at its sound minions. */
  @Test
  public void shouldAssignOtherCallsWhileTheCircuitOfTheUntriedMinionIsOpen() {
    register("m1", REMOTE_DATA_CENTRE, 2);
    ServiceCall retried = call("a", "retried", DEADLINE_MILLIS);
    enqueue(retried);
    openCircuitOfLocalMinion();
    fail("m1", retried);
    enqueue(call("b", "other", DEADLINE_MILLIS));
    assertEquals(assigned.get(assigned.size() - 1), "other@m1");
  }

  // -- limits

  /** Guards against more calls at a minion than it has slots, and against a lost call. */
  @Test
  public void shouldKeepTheLimitOfSlotsAndAssignEachCallOnce() {
    failOnceBesideFullMinion(DEADLINE_MILLIS);
    for (int i = 0; i < 4; i++) {
      enqueue(call("b", "other" + i, DEADLINE_MILLIS));
      assertTrue(minions.get("m1").slotsInUse() <= 1);
    }
    dispatchAt(RETRY_ELSEWHERE_MILLIS);
    assertEquals(assigned, List.of("retried@m1", "running@m2", "other0@m1"));
    for (int i = 0; i < 4; i++) {
      releaseSlot("m1");
      assertTrue(minions.get("m1").slotsInUse() <= 1);
    }
    assertEquals(
        assigned.subList(3, assigned.size()),
        List.of("retried@m1", "other1@m1", "other2@m1", "other3@m1"));
  }

  // -- random plays

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {5L}, {8L}};
  }

  /** Guards against calls that wait beside a free slot that they may use. */
  @Test(dataProvider = "seeds")
  public void shouldLeaveNoCallBesideAFreeSlotUnderRandomFailures(long seed) {
    Random random = new Random(seed);
    register("m1", LOCAL_DATA_CENTRE, SLOTS);
    register("m2", REGION_DATA_CENTRE, SLOTS);
    register("m3", REMOTE_DATA_CENTRE, SLOTS);
    for (int step = 0; step < 3_000; step++) {
      nowMillis += random.nextInt(30);
      String team = "t" + random.nextInt(3);
      if (random.nextBoolean() && dispatcher.reserve(team)) {
        ServiceCall call = call(team, "c" + step, Long.MAX_VALUE);
        waitingSinceMillis.put(call, nowMillis);
        dispatcher.enqueue(call);
      } else if (!running.isEmpty() && random.nextInt(3) > 0) {
        endAttempt(running.remove(random.nextInt(running.size())), random.nextInt(3) == 0);
      }
      dispatcher.dispatch();
      checkWaitingCalls("seed " + seed + ", step " + step);
    }
    assertEquals(rejected, List.of());
  }

  private void endAttempt(Running attempt, boolean failed) {
    dispatcher.handleAttemptEnd(
        attempt.minion,
        failed ? ServiceDispatcher.HealthSignal.BAD : ServiceDispatcher.HealthSignal.GOOD);
    if (failed && attempt.call.attemptCount() < MAX_ATTEMPTS) {
      waitingSinceMillis.put(attempt.call, nowMillis);
      dispatcher.requeue(attempt.call);
    }
  }

  /** Checks that only retries wait beside a free slot of a tried minion, and not for long. */
  private void checkWaitingCalls(String message) {
    for (MinionState minion : minions.values()) {
      assertTrue(minion.slotsInUse() <= SLOTS, message + ": slots of " + minion.id());
      if (minion.slotsInUse() == SLOTS || !minion.breaker().permits(nowMillis)) {
        continue;
      }
      waitingSinceMillis.forEach(
          (call, sinceMillis) -> {
            String id = message + ": " + call.parameters().requestId() + " beside " + minion.id();
            assertTrue(call.hasTried(minion.id()), id);
            assertTrue(nowMillis - sinceMillis < RETRY_ELSEWHERE_MILLIS, id);
          });
    }
  }

  // -- set-up

  /**
   * Lets a call fail at {@code m1}, whose slot is free then, while the slot of {@code m2} is in
   * use.
   */
  private ServiceCall failOnceBesideFullMinion(long deadlineMillis) {
    register("m1", REMOTE_DATA_CENTRE, 1);
    ServiceCall retried = call("a", "retried", deadlineMillis);
    enqueue(retried);
    register("m2", LOCAL_DATA_CENTRE, 1);
    enqueue(call("c", "running", DEADLINE_MILLIS));
    fail("m1", retried);
    return retried;
  }

  private void openCircuitOfLocalMinion() {
    register("m2", LOCAL_DATA_CENTRE, CircuitBreaker.FAILURE_THRESHOLD);
    for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
      enqueue(call("c", "running" + i, DEADLINE_MILLIS));
    }
    MinionState minion = minions.get("m2");
    for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
      dispatcher.handleAttemptEnd(minion, ServiceDispatcher.HealthSignal.BAD);
    }
  }

  private void register(String minionId, String dataCentre, int slots) {
    endpointTable.apply(
        Endpoint.newBuilder()
            .setService(SERVICE)
            .setMinionId(minionId)
            .setAddress("127.0.0.1:1")
            .setDataCentre(dataCentre)
            .setIncarnation(1)
            .setSlots(slots)
            .setConnections(slots)
            .setTtlMillis(60_000)
            .build(),
        nowMillis);
  }

  private void enqueue(ServiceCall call) {
    assertTrue(dispatcher.reserve(call.parameters().team()));
    waitingSinceMillis.put(call, nowMillis);
    dispatcher.enqueue(call);
  }

  private void fail(String minionId, ServiceCall call) {
    dispatcher.handleAttemptEnd(minions.get(minionId), ServiceDispatcher.HealthSignal.BAD);
    waitingSinceMillis.put(call, nowMillis);
    dispatcher.requeue(call);
  }

  private void releaseSlot(String minionId) {
    dispatcher.handleAttemptEnd(minions.get(minionId), ServiceDispatcher.HealthSignal.GOOD);
    dispatcher.dispatch();
  }

  private void dispatchAt(long millis) {
    nowMillis = millis;
    dispatcher.dispatch();
  }

  private ServiceDispatcher newDispatcher() {
    Settings settings =
        new Settings(
            "test", "i1", LOCAL_DATA_CENTRE, "north", null, null, List.of(), List.of(), null, null);
    ControlLink control = configOnlyControl();
    ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    timer.shutdownNow();
    ConfigLease configLease = new ConfigLease("i1", control, timer, () -> nowMillis, () -> {});
    configLease.watch();
    return new ServiceDispatcher(
        SERVICE,
        100,
        new ServiceDispatcher.SharedDependencies(
            settings,
            endpointTable,
            httpClient,
            configLease,
            new SlotLeases("i1", control, () -> nowMillis, Map::of, () -> {}),
            new EntryMetrics(new PrometheusRegistry()),
            () -> nowMillis),
        (call, minion) -> {
          minions.put(minion.id(), minion);
          running.add(new Running(call, minion));
          waitingSinceMillis.remove(call);
          assigned.add(call.parameters().requestId() + '@' + minion.id());
        },
        (call, code) -> rejected.add(call.parameters().requestId() + ':' + code));
  }

  /** Returns a control that answers a watch with a document under a long lease. */
  private static ControlLink configOnlyControl() {
    ConfigUpdate update =
        ConfigUpdate.newBuilder()
            .setVersion(1)
            .setLeaseMillis(1_000_000)
            .setFullDocumentJson(ByteString.copyFromUtf8(FLEET_DOCUMENT))
            .build();
    return stub(ControlLink.class, CompletableFuture.completedFuture(Result.success(update)));
  }

  private static ServiceCall call(String team, String id, long deadlineMillis) {
    return new ServiceCall(
        new ServiceCall.Parameters(
            team, SERVICE, id, id, new byte[0], true, false, 0, deadlineMillis),
        stub(Request.class, ""),
        stub(Response.class, ""),
        Callback.NOOP,
        Span.getInvalid(),
        Context.root());
  }

  private static <T> T stub(Class<T> type, Object answer) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> answer));
  }

  private record Running(ServiceCall call, MinionState minion) {}
}
