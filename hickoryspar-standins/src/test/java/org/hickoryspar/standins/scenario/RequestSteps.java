package org.hickoryspar.standins.scenario;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.hickoryspar.standins.scenario.TestCluster.Response;

/** Steps that send requests and compare the responses with the run counts of the minions. */
public class RequestSteps {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final List<String> DATA_CENTRES = List.of("brest-a", "quimper-a", "rennes-a");

  private final ScenarioContext context;
  private final ClusterSteps clusterSteps;
  private final Map<String, CompletableFuture<Response>> pendingResponses = new LinkedHashMap<>();
  private final Map<String, Response> lastResponses = new ConcurrentHashMap<>();
  private final Map<String, Integer> runCountsOfLostMinions = new LinkedHashMap<>();
  private final ExecutorService executor = Executors.newCachedThreadPool();

  /** Creates the steps of the scenario with this context. */
  public RequestSteps(ScenarioContext context, ClusterSteps clusterSteps) {
    this.context = context;
    this.clusterSteps = clusterSteps;
  }

  @Given("{int} minions that answer after {int} ms")
  public void startMinions(int count, int delayMillis) throws Exception {
    for (int i = 0; i < count; i++) {
      String id = "m" + i;
      context.cluster().addMinion(id, "catalogue", DATA_CENTRES.get(i % 3));
      await().atMost(TIMEOUT).until(() -> setResponseDelay(id, delayMillis));
    }
    for (String entry : context.cluster().entries()) {
      await()
          .atMost(TIMEOUT)
          .until(() -> send(entry, IdempotencyKeyGenerator.newKey(), true).status() == 200);
    }
  }

  private boolean setResponseDelay(String minion, int delayMillis) {
    String faults = "{\"lateMillis\":" + delayMillis + "}";
    return context.cluster().call(minion, "POST", "/faults", "", faults).status() == 200;
  }

  private Response send(String entry, String key, boolean idempotent) {
    return context
        .cluster()
        .call(
            entry,
            "POST",
            "/v1/services/catalogue/requests",
            TestCluster.TEAM_TOKEN,
            "plate " + key,
            "Idempotency-Key",
            key,
            "Hickoryspar-Idempotent",
            "" + idempotent,
            "Hickoryspar-Deadline-Millis",
            "8000");
  }

  @When("{int} non-idempotent requests are sent through both entries")
  public void sendNonIdempotentRequests(int count) {
    for (int i = 0; i < count; i++) {
      String key = IdempotencyKeyGenerator.newKey();
      String entry = i % 2 == 0 ? "e1" : "e2";
      pendingResponses.put(
          key, CompletableFuture.supplyAsync(() -> send(entry, key, false), executor));
    }
  }

  @When("{int} ms later instance {word} is {word}")
  public void changeInstanceStateLater(int millis, String instance, String state) throws Exception {
    LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    if (instance.equals("the-leader")) {
      clusterSteps.changeLeaderState(state);
    } else if (instance.equals("a-minion")) {
      fetchRunCounts("m0")
          .forEach((key, count) -> runCountsOfLostMinions.merge(key, count, Integer::sum));
      clusterSteps.changeInstanceState("m0", state);
    } else {
      clusterSteps.changeInstanceState(instance, state);
    }
  }

  @When("instance {word} is {word}")
  public void changeInstanceState(String instance, String state) throws Exception {
    clusterSteps.changeInstanceState(instance, state);
  }

  @When("the cut ends")
  public void reconnect() {
    context.cluster().reconnect();
  }

  /**
   * Retries requests whose outcome is not final: those reported as not run or without a response.
   */
  @When("each request without an answer is sent again with its key through e2")
  public void retryUnanswered() {
    Map<String, CompletableFuture<Response>> retries = new LinkedHashMap<>();
    pendingResponses.forEach(
        (key, call) ->
            retries.put(
                key,
                call.thenApplyAsync(
                    response -> {
                      Response latest = response;
                      for (int i = 0; i < 10 && !isFinal(latest); i++) {
                        LockSupport.parkNanos(500 * NANOS_PER_MILLI);
                        latest = send("e2", key, false);
                      }
                      return latest;
                    },
                    executor)));
    retries.forEach((key, call) -> lastResponses.put(key, call.join()));
  }

  private static boolean isFinal(Response response) {
    return List.of("answered", "minion-failed", "unknown").contains(response.outcome());
  }

  @Then("no key ran more than once")
  public void checkAtMostOnce() throws IOException {
    Map<String, Integer> runCounts = allRunCounts();
    pendingResponses
        .keySet()
        .forEach(key -> assertTrue(runCounts.getOrDefault(key, 0) <= 1, key + " ran twice"));
  }

  @Then("no request that was reported as not run has run")
  public void checkNotRun() throws IOException {
    Map<String, Integer> runCounts = allRunCounts();
    lastResponses.forEach(
        (key, response) -> {
          if (response.outcome().equals("not-run")) {
            assertEquals(
                runCounts.getOrDefault(key, 0), 0, key + " was reported as not run: " + response);
          }
        });
  }

  @Then("every answer was that of its own request")
  public void checkOwnResponses() {
    int answered = 0;
    for (Map.Entry<String, Response> latest : lastResponses.entrySet()) {
      if (latest.getValue().outcome().equals("answered")) {
        assertEquals(latest.getValue().body(), "plate " + latest.getKey());
        answered++;
      }
    }
    assertTrue(answered > 0, "nothing was answered: " + lastResponses);
  }

  private Map<String, Integer> allRunCounts() throws IOException {
    Map<String, Integer> runCounts = new LinkedHashMap<>(runCountsOfLostMinions);
    for (int i = 0; i < 3; i++) {
      fetchRunCounts("m" + i).forEach((key, count) -> runCounts.merge(key, count, Integer::sum));
    }
    return runCounts;
  }

  private Map<String, Integer> fetchRunCounts(String minion) throws IOException {
    Map<String, Integer> runCounts = new LinkedHashMap<>();
    Response response = context.cluster().call(minion, "GET", "/runs", "", "");
    if (response.status() == 200) {
      JsonNode body = response.json();
      body.fieldNames().forEachRemaining(key -> runCounts.put(key, body.path(key).asInt()));
    }
    return runCounts;
  }

  @Then("requests through e1 are reported as not run within {int} s")
  public void awaitNotRun(int seconds) {
    await()
        .atMost(Duration.ofSeconds(seconds))
        .until(
            () -> send("e1", IdempotencyKeyGenerator.newKey(), true).outcome().equals("not-run"));
  }

  @Then("requests through e1 reach no minion")
  public void checkNoRuns() throws IOException {
    int countBefore = allRunCounts().size();
    for (int i = 0; i < 20; i++) {
      assertEquals(send("e1", IdempotencyKeyGenerator.newKey(), true).outcome(), "not-run");
    }
    assertEquals(allRunCounts().size(), countBefore);
  }

  @Then("requests through e1 are answered again")
  public void awaitAnswered() {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> send("e1", IdempotencyKeyGenerator.newKey(), true).outcome().equals("answered"));
  }

  @When("operator maela takes brest-a out")
  public void takeDataCentreOut() {
    String body = "{\"changeId\":\"out\",\"reason\":\"cooling\"}";
    Response response =
        context.cluster().call("e2", "POST", "/v1/data-centres/brest-a/out", "maela-token", body);
    assertEquals(response.status(), 200, response.toString());
  }

  @Then("after {int} s no request through either entry reaches the minion in brest-a")
  public void checkDataCentreOut(int seconds) throws IOException {
    LockSupport.parkNanos(seconds * 1000L * NANOS_PER_MILLI);
    int countBefore = fetchRunCounts("m0").size();
    int answered = 0;
    for (int i = 0; i < 40; i++) {
      Response response = send(i % 2 == 0 ? "e1" : "e2", IdempotencyKeyGenerator.newKey(), true);
      answered += response.outcome().equals("answered") ? 1 : 0;
    }
    assertEquals(fetchRunCounts("m0").size(), countBefore);
    assertTrue(answered > 0, "the other data centres answered nothing");
  }

  @When("requests are sent while minion {word} leaves")
  public void sendWhileLeaving(String minion) throws Exception {
    sendInBackgroundDuring(() -> context.cluster().stop(minion));
  }

  @When("requests are sent through ready entries while all instances are restarted one by one")
  public void sendWhileRestarting() throws Exception {
    sendInBackgroundDuring(
        () -> {
          clusterSteps.rollingRestart();
          for (String entry : context.cluster().entries()) {
            context.cluster().stop(entry);
            context.cluster().start(entry);
            await().atMost(TIMEOUT).until(() -> context.cluster().isReady(entry));
          }
        });
  }

  private interface Action {
    void run() throws Exception;
  }

  private void sendInBackgroundDuring(Action action) throws Exception {
    AtomicBoolean done = new AtomicBoolean();
    List<CompletableFuture<Void>> senders = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      boolean idempotent = i % 2 == 0;
      senders.add(CompletableFuture.runAsync(() -> sendUntil(done, idempotent), executor));
    }
    action.run();
    LockSupport.parkNanos(3_000 * NANOS_PER_MILLI);
    done.set(true);
    senders.forEach(CompletableFuture::join);
  }

  /** Sends each request through the first ready entry, as a load balancer does. */
  private void sendUntil(AtomicBoolean done, boolean idempotent) {
    while (!done.get()) {
      String key = IdempotencyKeyGenerator.newKey();
      for (String entry : context.cluster().entries()) {
        if (context.cluster().isReady(entry)) {
          Response response = send(entry, key, idempotent);
          // A load balancer tries another entry when a connection is refused.
          boolean tryNext = response.body().contains("ConnectException");
          if (!tryNext) {
            lastResponses.put(key, response);
            break;
          }
        }
      }
    }
  }

  @Then("every request was answered")
  public void checkAllAnswered() {
    assertTrue(lastResponses.size() > 20, "only " + lastResponses.size() + " requests were sent");
    lastResponses.forEach(
        (key, response) -> assertEquals(response.outcome(), "answered", key + ": " + response));
  }
}
