package org.hickoryspar.node.dispatch;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ControlStateMachine;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;
import org.hickoryspar.protocol.WorkflowCall;
import org.hickoryspar.protocol.WorkflowReply;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkflowServiceTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

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

  private static final ByteString FIRST_CALL = ByteString.copyFromUtf8("call 1");
  private static final ByteString SECOND_CALL = ByteString.copyFromUtf8("call 2");

  private DispatchLoop loop;
  private Proposer proposer;
  private WorkflowService service;

  @BeforeMethod
  void startLeader() {
    ControlState state = new ControlState();
    ControlStateMachine stateMachine = new ControlStateMachine(state);
    proposer = new Proposer(new ImmediateLog(stateMachine), System::currentTimeMillis);
    loop =
        new DispatchLoop(
            state,
            proposer,
            new NoMinions(),
            SETTINGS,
            new DecisionTelemetry(new PrometheusRegistry()),
            () -> System.nanoTime() / 1_000_000);
    stateMachine.addListener(loop::handleApplied);
    loop.start();
    service = new WorkflowService(state, proposer, loop);
    putCatalog(1, "queue", "key");
  }

  @AfterMethod(alwaysRun = true)
  void stop() {
    loop.close();
  }

  // -- serve

  @DataProvider
  Object[][] laterCatalogs() {
    return new Object[][] {
      {"the key is withdrawn", "queue", "other key", WorkflowReply.Outcome.UNAUTHORISED},
      {"the queue is removed", "other queue", "key", WorkflowReply.Outcome.NO_QUEUE},
    };
  }

  /**
   * Guards against a refusal of a workflow that runs: the response to the first attempt was lost,
   * and the catalog changed before the second one.
   */
  @Test(dataProvider = "laterCatalogs")
  public void shouldAcceptRetryWhenAnEarlierAttemptHasStoredTheWorkflow(
      String change, String queue, String key, WorkflowReply.Outcome refusal) {
    assertEquals(submit(FIRST_CALL, false), WorkflowReply.Outcome.OK);
    putCatalog(2, queue, key);
    assertEquals(submit(FIRST_CALL, true), WorkflowReply.Outcome.OK);
    // Another call of the same caller is refused by the catalog in force.
    assertEquals(submit(SECOND_CALL, false), refusal);
    assertEquals(submit(SECOND_CALL, true), refusal);
  }

  @DataProvider
  Object[][] coreQuotas() {
    // A gang of 3 tasks of one core each; one task more than the quota may run.
    return new Object[][] {
      {0, WorkflowReply.Outcome.OK},
      {2_000, WorkflowReply.Outcome.OK},
      {1_999, WorkflowReply.Outcome.INVALID},
    };
  }

  /** Guards against work that waits for ever because its team may never run so much. */
  @Test(dataProvider = "coreQuotas")
  public void shouldRefuseWorkflowWhenItCanNeverRunBelowTheQuotaOfItsTeam(
      long quotaMillicores, WorkflowReply.Outcome expected) {
    putCatalog(2, "queue", "key", quotaMillicores);

    assertEquals(submit(FIRST_CALL, false), expected);
  }

  /** Guards against a refusal of a workflow that was accepted before the quota was lowered. */
  @Test
  public void shouldAcceptResendOfAnAcceptedWorkflowWhenTheQuotaWasLowered() {
    assertEquals(submit(FIRST_CALL, false), WorkflowReply.Outcome.OK);
    putCatalog(2, "queue", "key", 1);

    assertEquals(submit(FIRST_CALL, true), WorkflowReply.Outcome.OK);
    assertEquals(submit(SECOND_CALL, false), WorkflowReply.Outcome.OK);
  }

  // Repeated until the dispatcher has its first session.
  private WorkflowReply.Outcome submit(ByteString callId, boolean retried) {
    WorkflowCall call =
        WorkflowCall.newBuilder()
            .setHost("host")
            .setPath("/queue/00000000000000a0")
            .setTeamKey("key")
            .setSubmit(spec())
            .build();
    return await()
        .atMost(TIMEOUT)
        .until(
            () ->
                service
                    .serve(call, callId, retried)
                    .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                    .getOrElse(WorkflowReply.getDefaultInstance())
                    .getOutcome(),
            outcome -> outcome != WorkflowReply.Outcome.OUTCOME_UNSPECIFIED);
  }

  private static WorkflowSpec spec() {
    return WorkflowSpec.newBuilder()
        .addSteps(
            WorkflowStep.newBuilder()
                .setTasks(3)
                .setGang(true)
                .setEstimatedMillis(1_000)
                .setDemand(TaskDemand.newBuilder().setCpuMillicores(1_000)))
        .build();
  }

  private void putCatalog(long version, String queue, String key) {
    putCatalog(version, queue, key, 0);
  }

  private void putCatalog(long version, String queue, String key, long quotaMillicores) {
    Catalog catalog =
        Catalog.newBuilder()
            .setVersion(version)
            .addServices(ServicePolicy.newBuilder().setName("service"))
            .addTeams(
                TeamEntitlement.newBuilder()
                    .setName("team")
                    .addKeys(key)
                    .setQuota(TaskDemand.newBuilder().setCpuMillicores(quotaMillicores)))
            .addQueues(
                Queue.newBuilder()
                    .setName(queue)
                    .setHost("host")
                    .setPathPrefix('/' + queue + '/')
                    .setService("service")
                    .setMaxAttempts(3)
                    .setTimeoutMillis(3_000))
            .build();
    proposer
        .propose(
            Command.newBuilder().setCatalogChange(CatalogChange.newBuilder().setCatalog(catalog)))
        .join();
  }

  /** A client that is never used, because no minion reports. */
  private static final class NoMinions implements MinionClient {

    @Override
    public CompletableFuture<Result<RenewalResponse>> renew(Order.Renew order, long fencingToken) {
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
