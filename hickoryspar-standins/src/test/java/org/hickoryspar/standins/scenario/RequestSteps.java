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
import org.hickoryspar.standins.scenario.TestCluster.Answer;

/** Steps that send requests and compare the answers with what the minions counted. */
public class RequestSteps {

  private static final Duration LIMIT = Duration.ofSeconds(60);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final List<String> DATA_CENTRES = List.of("brest-a", "quimper-a", "rennes-a");

  private final ScenarioContext context;
  private final ClusterSteps clusterSteps;
  private final Map<String, CompletableFuture<Answer>> calls = new LinkedHashMap<>();
  private final Map<String, Answer> lastAnswers = new ConcurrentHashMap<>();
  private final Map<String, Integer> runsOfLostMinions = new LinkedHashMap<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();

  /** Creates the steps of one scenario. */
  public RequestSteps(ScenarioContext context, ClusterSteps clusterSteps) {
    this.context = context;
    this.clusterSteps = clusterSteps;
  }

  @Given("{int} minions that answer after {int} ms")
  public void startMinions(int count, int lateMillis) throws Exception {
    for (int i = 0; i < count; i++) {
      String id = "m" + i;
      context.cluster().addMinion(id, "catalogue", DATA_CENTRES.get(i % 3));
      await().atMost(LIMIT).until(() -> setLate(id, lateMillis));
    }
    for (String entry : context.cluster().entries()) {
      await().atMost(LIMIT).until(() -> send(entry, Keys.newKey(), true).status() == 200);
    }
  }

  private boolean setLate(String minion, int lateMillis) {
    String faults = "{\"lateMillis\":" + lateMillis + "}";
    return context.cluster().call(minion, "POST", "/faults", "", faults).status() == 200;
  }

  private Answer send(String entry, String key, boolean idempotent) {
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
  public void sendAll(int count) {
    for (int i = 0; i < count; i++) {
      String key = Keys.newKey();
      String entry = i % 2 == 0 ? "e1" : "e2";
      calls.put(key, CompletableFuture.supplyAsync(() -> send(entry, key, false), callers));
    }
  }

  @When("{int} ms later instance {word} is {word}")
  public void loseLater(int millis, String instance, String how) throws Exception {
    LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    if (instance.equals("the-leader")) {
      clusterSteps.loseLeader(how);
    } else if (instance.equals("a-minion")) {
      countRuns("m0").forEach((key, runs) -> runsOfLostMinions.merge(key, runs, Integer::sum));
      clusterSteps.loseInstance("m0", how);
    } else {
      clusterSteps.loseInstance(instance, how);
    }
  }

  @When("instance {word} is {word}")
  public void lose(String instance, String how) throws Exception {
    clusterSteps.loseInstance(instance, how);
  }

  @When("the cut ends")
  public void reconnect() {
    context.cluster().reconnect();
  }

  /** Sends until an answer is final; "not run" and an answer that was lost may be sent again. */
  @When("each request without an answer is sent again with its key through e2")
  public void sendAgain() {
    Map<String, CompletableFuture<Answer>> again = new LinkedHashMap<>();
    calls.forEach(
        (key, call) ->
            again.put(
                key,
                call.thenApplyAsync(
                    answer -> {
                      Answer last = answer;
                      for (int i = 0; i < 10 && !isFinal(last); i++) {
                        LockSupport.parkNanos(500 * NANOS_PER_MILLI);
                        last = send("e2", key, false);
                      }
                      return last;
                    },
                    callers)));
    again.forEach((key, call) -> lastAnswers.put(key, call.join()));
  }

  private static boolean isFinal(Answer answer) {
    return List.of("answered", "minion-failed", "unknown").contains(answer.outcome());
  }

  @Then("no key ran more than once")
  public void checkOnce() throws IOException {
    Map<String, Integer> runs = allRuns();
    calls.keySet().forEach(key -> assertTrue(runs.getOrDefault(key, 0) <= 1, key + " ran twice"));
  }

  @Then("no request that was reported as not run has run")
  public void checkNotRun() throws IOException {
    Map<String, Integer> runs = allRuns();
    lastAnswers.forEach(
        (key, answer) -> {
          if (answer.outcome().equals("not-run")) {
            assertEquals(runs.getOrDefault(key, 0), 0, key + " was reported as not run: " + answer);
          }
        });
  }

  @Then("every answer was that of its own request")
  public void checkOwnAnswers() {
    int answered = 0;
    for (Map.Entry<String, Answer> last : lastAnswers.entrySet()) {
      if (last.getValue().outcome().equals("answered")) {
        assertEquals(last.getValue().body(), "plate " + last.getKey());
        answered++;
      }
    }
    assertTrue(answered > 0, "nothing was answered: " + lastAnswers);
  }

  private Map<String, Integer> allRuns() throws IOException {
    Map<String, Integer> runs = new LinkedHashMap<>(runsOfLostMinions);
    for (int i = 0; i < 3; i++) {
      countRuns("m" + i).forEach((key, count) -> runs.merge(key, count, Integer::sum));
    }
    return runs;
  }

  private Map<String, Integer> countRuns(String minion) throws IOException {
    Map<String, Integer> runs = new LinkedHashMap<>();
    Answer answer = context.cluster().call(minion, "GET", "/runs", "", "");
    if (answer.status() == 200) {
      JsonNode body = answer.json();
      body.fieldNames().forEachRemaining(key -> runs.put(key, body.path(key).asInt()));
    }
    return runs;
  }

  @Then("requests through e1 are reported as not run within {int} s")
  public void awaitNotRun(int seconds) {
    await()
        .atMost(Duration.ofSeconds(seconds))
        .until(() -> send("e1", Keys.newKey(), true).outcome().equals("not-run"));
  }

  @Then("requests through e1 reach no minion")
  public void checkNoRuns() throws IOException {
    int before = allRuns().size();
    for (int i = 0; i < 20; i++) {
      assertEquals(send("e1", Keys.newKey(), true).outcome(), "not-run");
    }
    assertEquals(allRuns().size(), before);
  }

  @Then("requests through e1 are answered again")
  public void awaitAnswered() {
    await().atMost(LIMIT).until(() -> send("e1", Keys.newKey(), true).outcome().equals("answered"));
  }

  @When("operator maela takes brest-a out")
  public void takeOut() {
    String body = "{\"changeId\":\"out\",\"reason\":\"cooling\"}";
    Answer answer =
        context.cluster().call("e2", "POST", "/v1/data-centres/brest-a/out", "maela-token", body);
    assertEquals(answer.status(), 200, answer.toString());
  }

  @Then("after {int} s no request through either entry reaches the minion in brest-a")
  public void checkDataCentreOut(int seconds) throws IOException {
    LockSupport.parkNanos(seconds * 1000L * NANOS_PER_MILLI);
    int before = countRuns("m0").size();
    int answered = 0;
    for (int i = 0; i < 40; i++) {
      Answer answer = send(i % 2 == 0 ? "e1" : "e2", Keys.newKey(), true);
      answered += answer.outcome().equals("answered") ? 1 : 0;
    }
    assertEquals(countRuns("m0").size(), before);
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
            await().atMost(LIMIT).until(() -> context.cluster().isReady(entry));
          }
        });
  }

  private interface Action {
    void run() throws Exception;
  }

  private void sendInBackgroundDuring(Action action) throws Exception {
    AtomicBoolean done = new AtomicBoolean();
    List<CompletableFuture<Void>> loops = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      boolean idempotent = i % 2 == 0;
      loops.add(CompletableFuture.runAsync(() -> sendUntil(done, idempotent), callers));
    }
    action.run();
    LockSupport.parkNanos(3_000 * NANOS_PER_MILLI);
    done.set(true);
    loops.forEach(CompletableFuture::join);
  }

  /** Picks a ready entry for each request, as the balancer does. */
  private void sendUntil(AtomicBoolean done, boolean idempotent) {
    while (!done.get()) {
      String key = Keys.newKey();
      for (String entry : context.cluster().entries()) {
        if (context.cluster().isReady(entry)) {
          Answer answer = send(entry, key, idempotent);
          // A refused connection or an answer "not run" lets the balancer try another entry.
          boolean tryNext = answer.body().contains("ConnectException");
          if (!tryNext) {
            lastAnswers.put(key, answer);
            break;
          }
        }
      }
    }
  }

  @Then("every request was answered")
  public void checkAllAnswered() {
    assertTrue(lastAnswers.size() > 20, "only " + lastAnswers.size() + " requests were sent");
    lastAnswers.forEach(
        (key, answer) -> assertEquals(answer.outcome(), "answered", key + ": " + answer));
  }
}
