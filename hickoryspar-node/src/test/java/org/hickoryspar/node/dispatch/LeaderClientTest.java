package org.hickoryspar.node.dispatch;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.Acknowledgement;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Failure;
import org.hickoryspar.protocol.WorkflowCall;
import org.hickoryspar.protocol.WorkflowReply;
import org.hickoryspar.protocol.WorkflowSpec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaderClientTest {

  private static final long TIMEOUT_MILLIS = 30_000;

  private final AtomicReference<CallListener.CallSummary> summary = new AtomicReference<>();
  private final List<PeerServer> servers = new ArrayList<>();
  private Closer closer = Closer.create();
  private EventLoopGroup eventLoops;
  private ControlPeers peers;
  private LeaderClient client;

  /** Runs what is due at once, and never what is scheduled for later. */
  private static final class PausedTimer extends ScheduledThreadPoolExecutor {

    PausedTimer() {
      super(1);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
      return delay > 0 ? super.schedule(task, 1, TimeUnit.DAYS) : super.schedule(task, 0, unit);
    }
  }

  @BeforeMethod
  void start() {
    closer = Closer.create();
    servers.clear();
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    closer.register(() -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
    peers =
        new ControlPeers(
            new PeerIdentity("test", "entry", 1), eventLoops, "", InstanceIds::socketAddress);
    closer.register(peers::close);
    client = newClient(Executors.newSingleThreadScheduledExecutor());
  }

  private LeaderClient newClient(ScheduledExecutorService timer) {
    closer.register(timer::shutdownNow);
    return new LeaderClient(
        peers,
        "entry",
        null,
        timer,
        (call, result, callSummary) -> summary.set(callSummary),
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        new CallIds(new SecureRandom()));
  }

  @AfterMethod
  void stop() throws IOException {
    closer.close();
  }

  /** Starts a control daemon that handles calls with a handler; returns its instance id. */
  private String startControl(PeerHandler handler) {
    String id = "127.0.0.1:" + listen(0, handler).getPort();
    peers.connectTo(id, "the test");
    await().until(() -> peers.connection(id).isPresent());
    return id;
  }

  private InetSocketAddress listen(int port, PeerHandler handler) {
    PeerServer server =
        new PeerServer(
            new PeerIdentity("test", "control", 2, "control/1", "dc"), eventLoops, handler);
    closer.register(server::close);
    servers.add(server);
    return server
        .listen(new InetSocketAddress("127.0.0.1", port))
        .fold(
            problem -> {
              throw new AssertionError(problem);
            },
            bound -> bound);
  }

  private static Envelope.Builder ok() {
    return Envelope.newBuilder()
        .setWorkflowReply(WorkflowReply.newBuilder().setOutcome(WorkflowReply.Outcome.OK).build());
  }

  private static Envelope.Builder call() {
    return Envelope.newBuilder().setWorkflowCall(WorkflowCall.newBuilder().setPath("/a/1"));
  }

  /** Guards against calls that wait for a failed leader although its successor is known. */
  @Test
  void shouldSwitchToTheNewLeaderWhenTheOldOneDoesNotRespond() throws Exception {
    AtomicInteger received = new AtomicInteger();
    String unresponsive = startControl((from, message, reply) -> received.incrementAndGet());
    String next = startControl((from, message, reply) -> reply.accept(ok()));
    peers.recordLeader(unresponsive, 1);

    CompletableFuture<Result<Envelope>> result = client.call(call(), TIMEOUT_MILLIS);
    await().until(() -> received.get() > 0);
    peers.recordLeader(next, 2);

    assertTrue(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isSuccess());
    assertEquals(summary.get().leader(), next);
    assertEquals(summary.get().lastProblem(), "another leader is known");
  }

  @DataProvider
  Object[][] whetherConnectedFirst() {
    return new Object[][] {{true}, {false}};
  }

  /** Guards against calls that arrived while there was no leader and wait for a timer after it. */
  @Test(dataProvider = "whetherConnectedFirst")
  void shouldSendWaitingCallsWhenTheLeaderBecomesReachable(boolean connectedFirst)
      throws Exception {
    client = newClient(new PausedTimer());
    CompletableFuture<Result<Envelope>> result = client.call(call(), TIMEOUT_MILLIS);
    if (connectedFirst) {
      peers.recordLeader(startControl((from, message, reply) -> reply.accept(ok())), 1);
    } else {
      int port = InstanceIds.socketAddress(startControl((from, message, reply) -> {})).getPort();
      PeerServer server = servers.remove(0);
      server.close();
      await().until(() -> peers.readyConnections().isEmpty());
      peers.recordLeader("127.0.0.1:" + port, 1);
      listen(port, (from, message, reply) -> reply.accept(ok()));
    }
    assertTrue(result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).isSuccess());
  }

  @DataProvider
  Object[][] retryableCodes() {
    return new Object[][] {{"not-leader"}, {"unavailable"}, {"unknown"}};
  }

  /** Guards against a call that fails because of a problem that it did not cause. */
  @Test(dataProvider = "retryableCodes")
  void shouldRetryWhenTheCallWasNotServed(String code) throws Exception {
    AtomicInteger received = new AtomicInteger();
    String leader =
        startControl(
            (from, message, reply) ->
                reply.accept(
                    received.incrementAndGet() < 3
                        ? Envelope.newBuilder()
                            .setFailure(Failure.newBuilder().setCode(code).setMessage("no"))
                        : ok()));
    peers.recordLeader(leader, 1);

    Result<Envelope> result =
        client.call(call(), TIMEOUT_MILLIS).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertTrue(result.isSuccess());
    assertEquals(summary.get().attempts(), 3);
  }

  /** Guards against retries of a call that the leader has rejected. */
  @Test
  void shouldNotRetryWhenTheLeaderRejectsTheCall() throws Exception {
    String leader =
        startControl(
            (from, message, reply) ->
                reply.accept(
                    Envelope.newBuilder()
                        .setFailure(
                            Failure.newBuilder().setCode("invalid-catalog").setMessage("no"))));
    peers.recordLeader(leader, 1);

    Result<Envelope> result =
        client.call(call(), TIMEOUT_MILLIS).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertEquals(result.problem().orElseThrow().code(), "invalid-catalog");
    assertEquals(summary.get().attempts(), 1);
  }

  @DataProvider
  Object[][] refusalsOfRetries() {
    WorkflowCall.Builder submit =
        WorkflowCall.newBuilder().setSubmit(WorkflowSpec.getDefaultInstance());
    WorkflowCall.Builder cancel =
        WorkflowCall.newBuilder().setCancel(Acknowledgement.getDefaultInstance());
    WorkflowCall.Builder status =
        WorkflowCall.newBuilder().setStatus(Acknowledgement.getDefaultInstance());
    return new Object[][] {
      {submit, WorkflowReply.Outcome.REFUSED, true},
      {submit, WorkflowReply.Outcome.NO_QUEUE, true},
      {submit, WorkflowReply.Outcome.UNAUTHORISED, true},
      {cancel, WorkflowReply.Outcome.UNAUTHORISED, true},
      // These are true whatever became of the earlier attempt.
      {submit, WorkflowReply.Outcome.INVALID, false},
      {cancel, WorkflowReply.Outcome.NO_WORKFLOW, false},
      {status, WorkflowReply.Outcome.UNAUTHORISED, false},
    };
  }

  /**
   * Guards against a caller who is told that its workflow was refused although an earlier attempt,
   * whose response was lost, has stored it.
   */
  @Test(dataProvider = "refusalsOfRetries")
  void shouldNotReturnRefusalWhenAnEarlierAttemptMayHaveTakenEffect(
      WorkflowCall.Builder call, WorkflowReply.Outcome outcome, boolean unknown) throws Exception {
    List<Envelope> attempts = new CopyOnWriteArrayList<>();
    String leader =
        startControl(
            (from, message, reply) -> {
              attempts.add(message);
              reply.accept(
                  attempts.size() == 1
                      ? Envelope.newBuilder().setFailure(Failure.newBuilder().setCode("unknown"))
                      : Envelope.newBuilder()
                          .setWorkflowReply(WorkflowReply.newBuilder().setOutcome(outcome)));
            });
    peers.recordLeader(leader, 1);

    Result<Envelope> result =
        client
            .call(Envelope.newBuilder().setWorkflowCall(call), TIMEOUT_MILLIS)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertEquals(result.problem().map(Problem::code).orElse(""), unknown ? "unknown" : "");
    assertEquals(attempts.stream().map(Envelope::getRetried).toList(), List.of(false, true));
    assertEquals(attempts.get(0).getCallId(), attempts.get(1).getCallId());
  }

  /** Guards against a true refusal that is withheld because an earlier attempt was not served. */
  @Test
  void shouldReturnRefusalWhenEarlierAttemptsWereNotServed() throws Exception {
    AtomicInteger received = new AtomicInteger();
    String leader =
        startControl(
            (from, message, reply) ->
                reply.accept(
                    received.incrementAndGet() == 1
                        ? Envelope.newBuilder()
                            .setFailure(Failure.newBuilder().setCode("not-leader"))
                        : Envelope.newBuilder()
                            .setWorkflowReply(
                                WorkflowReply.newBuilder()
                                    .setOutcome(WorkflowReply.Outcome.UNAUTHORISED))));
    peers.recordLeader(leader, 1);
    WorkflowCall.Builder submit =
        WorkflowCall.newBuilder().setSubmit(WorkflowSpec.getDefaultInstance());

    Result<Envelope> result =
        client
            .call(Envelope.newBuilder().setWorkflowCall(submit), TIMEOUT_MILLIS)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertTrue(result.isSuccess(), result.toString());
  }

  @DataProvider
  Object[][] departures() {
    return new Object[][] {{0, "abandoned"}, {1, "unknown"}};
  }

  /**
   * Guards against a submission that is sent after a pause of the process, when its caller has
   * already cancelled it elsewhere.
   */
  @Test(dataProvider = "departures")
  void shouldNotSendWhenCallerHasLeft(int attempts, String code) throws Exception {
    AtomicInteger received = new AtomicInteger();
    String leader =
        startControl(
            (from, message, reply) -> {
              received.incrementAndGet();
              reply.accept(
                  Envelope.newBuilder().setFailure(Failure.newBuilder().setCode("unknown")));
            });
    peers.recordLeader(leader, 1);
    AtomicInteger checks = new AtomicInteger();

    Result<Envelope> result =
        client
            .call(call(), TIMEOUT_MILLIS, () -> checks.getAndIncrement() < attempts)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertEquals(result.problem().orElseThrow().code(), code);
    assertEquals(received.get(), attempts);
  }

  /** Guards against a call that may have taken effect and is reported as not run. */
  @Test
  void shouldFailWithUnknownWhenNoLeaderRespondsInTime() throws Exception {
    String unresponsive = startControl((from, message, reply) -> {});
    peers.recordLeader(unresponsive, 1);

    Result<Envelope> result = client.call(call(), 200).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertEquals(result.problem().orElseThrow().code(), "unknown");
  }
}
