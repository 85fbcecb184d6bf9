package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Failure;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.JobResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ControlClientTest {

  private static final long TIMEOUT_MILLIS = 30_000;

  private Closer closer = Closer.create();
  private EventLoopGroup eventLoops;

  @BeforeMethod
  void startEventLoops() {
    closer = Closer.create();
    eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    closer.register(() -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws IOException {
    closer.close();
  }

  // -- job

  @DataProvider
  Object[][] secondAnswers() {
    return new Object[][] {
      {JobCall.Kind.SUBMIT, "unknown", 410, "unknown"},
      {JobCall.Kind.SUBMIT, "unknown", 429, "unknown"},
      {JobCall.Kind.SUBMIT, "unknown", 200, ""},
      {JobCall.Kind.SUBMIT, "unknown", 400, ""},
      {JobCall.Kind.SUBMIT, "not-leader", 429, ""},
      {JobCall.Kind.STATUS, "unknown", 410, ""},
    };
  }

  /**
   * Guards against a caller who is told that its job was refused although an earlier attempt, whose
   * response was lost, may have stored it.
   */
  @Test(dataProvider = "secondAnswers")
  public void shouldNotReturnRefusalWhenAnEarlierAttemptMayHaveTakenEffect(
      JobCall.Kind kind, String firstProblem, int secondStatus, String expectedProblem)
      throws Exception {
    AtomicInteger received = new AtomicInteger();
    ControlClient client =
        clientOf(
            (from, message, reply) ->
                reply.accept(
                    received.incrementAndGet() == 1
                        ? Envelope.newBuilder()
                            .setFailure(Failure.newBuilder().setCode(firstProblem))
                        : Envelope.newBuilder()
                            .setJobResult(JobResult.newBuilder().setHttpStatus(secondStatus))));

    Result<JobResult> result =
        client
            .job(JobCall.newBuilder().setKind(kind).build(), "", TIMEOUT_MILLIS)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);

    assertEquals(result.problem().map(Problem::code).orElse(""), expectedProblem);
  }

  private ControlClient clientOf(PeerHandler replica) throws IOException {
    PeerServer server =
        new PeerServer(
            new PeerIdentity("test", "control", 2, "control/1", "dc"), eventLoops, replica);
    closer.register(server::close);
    InetSocketAddress address =
        server
            .listen(new InetSocketAddress("127.0.0.1", 0))
            .getOrElseThrow(problem -> new IOException(problem.message()));
    PeerConnection connection =
        new PeerConnection(
            new PeerIdentity("test", "entry", 1),
            eventLoops,
            "control",
            address,
            (from, message, reply) -> {});
    closer.register(connection::close);
    connection.connect();
    await().until(connection::isReady);
    return new ControlClient(
        List.of(connection), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }
}
