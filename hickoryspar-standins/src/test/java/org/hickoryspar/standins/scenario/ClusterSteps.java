package org.hickoryspar.standins.scenario;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.After;
import io.cucumber.java.Scenario;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.hickoryspar.standins.scenario.TestCluster.Answer;

/** Steps that start a cluster, make instances fail and change the configuration. */
public class ClusterSteps {

  private static final Duration LIMIT = Duration.ofSeconds(60);

  private final ScenarioContext context;
  private final Map<String, Long> acceptedVersions = new TreeMap<>();
  private final List<Answer> answers = new ArrayList<>();
  private String lost = "";

  /** Creates the steps of one scenario. */
  public ClusterSteps(ScenarioContext context) {
    this.context = context;
  }

  @After
  public void stopCluster(Scenario scenario) throws Exception {
    if (context.hasCluster()) {
      if (scenario.isFailed()) {
        String kept = context.cluster().keepLogs();
        scenario.log("logs kept in " + kept);
        System.err.println(scenario.getName() + " failed; logs are kept in " + kept);
      }
      context.cluster().close();
    }
  }

  @Given("a cluster of {int} control and {int} entry instances with {int} workers")
  public void startCluster(int controls, int entries, int workers) throws Exception {
    TestCluster cluster = new TestCluster(controls, entries, workers);
    context.setCluster(cluster);
    await().atMost(LIMIT).until(() -> cluster.entries().stream().allMatch(cluster::isReady));
    await()
        .atMost(LIMIT)
        .until(() -> operator("maela", "e1", "GET", "/v1/fleet", "").status() == 200);
    ObjectNode change =
        TestCluster.JSON.createObjectNode().put("baseVersion", 0).put("changeId", "first");
    change.put("reason", "first document").set("document", TestCluster.fleetDocument());
    await()
        .atMost(LIMIT)
        .until(() -> operator("maela", "e1", "PUT", "/v1/fleet", "" + change).status() == 200);
    acceptedVersions.put("first", 1L);
  }

  @Given("operator {word} has added {int} exceptions")
  public void addExceptions(String operator, int count) {
    for (int i = 0; i < count; i++) {
      String id = "x" + acceptedVersions.size();
      await().atMost(LIMIT).until(() -> tryAdd(operator, id));
    }
  }

  /** Sends the change again under the same id until it is accepted, as the command line does. */
  private boolean tryAdd(String operator, String id) {
    Answer answer = operator(operator, "e1", "POST", "/v1/exceptions", exception(id, "ch-" + id));
    if (answer.status() == 200) {
      acceptedVersions.put("ch-" + id, answer.json().path("version").asLong());
    }
    return answer.status() == 200;
  }

  private static String exception(String id, String changeId) {
    return TestCluster.JSON
        .createObjectNode()
        .put("changeId", changeId)
        .put("id", id)
        .put("kind", "worker-out")
        .put("target", "w0000")
        .put("reason", "fan replaced, ticket 7")
        .toString();
  }

  @When("the leader is {word}")
  public void loseLeader(String how) throws Exception {
    lost = leader();
    lose(lost, how);
  }

  @When("control instance {word} is {word}")
  public void loseInstance(String name, String how) throws Exception {
    lose(name, how);
  }

  private void lose(String name, String how) throws Exception {
    TestCluster cluster = context.cluster();
    switch (how) {
      case "killed" -> cluster.kill(name);
      case "stopped" -> cluster.stop(name);
      case "frozen" -> cluster.signal(name, "STOP");
      case "cut-off" -> cluster.cutOff(name, true, true);
      case "cut-off-outward" -> cluster.cutOff(name, true, false);
      case "cut-off-inward" -> cluster.cutOff(name, false, true);
      case "restarted" -> cluster.start(name);
      case "resumed" -> cluster.signal(name, "CONT");
      case "reconnected" -> cluster.reconnect();
      case "erased" -> {
        cluster.kill(name);
        cluster.eraseDisk(name);
        cluster.start(name);
      }
      default -> throw new IllegalArgumentException(how);
    }
  }

  @When("the lost instance is {word}")
  public void returnLost(String how) throws Exception {
    lose(lost, how);
  }

  @When("all instances are restarted one after the other")
  public void rollingRestart() throws Exception {
    for (String name : context.cluster().controls()) {
      context.cluster().stop(name);
      context.cluster().start(name);
      await().atMost(LIMIT).until(() -> context.cluster().isReady(name));
    }
  }

  @When("the replica of {word} is replaced")
  public void replaceReplica(String name) throws Exception {
    await().atMost(LIMIT).until(() -> newReplicaId(name).length() > 0);
    String body =
        TestCluster.JSON
            .createObjectNode()
            .put("replicaId", newReplicaId(name))
            .put("replaces", name + "/1")
            .toString();
    await()
        .atMost(LIMIT)
        .until(() -> operator("maela", "e1", "POST", "/v1/replicas", body).status() == 200);
  }

  private String newReplicaId(String name) throws Exception {
    var matcher = Pattern.compile(name + "/[0-9a-f]{16}").matcher(context.cluster().logOf(name));
    return matcher.find() ? matcher.group() : "";
  }

  @When("two operators apply the same base version at once, {int} times")
  public void race(int rounds) {
    for (int round = 0; round < rounds; round++) {
      long base = fleetVersion();
      CompletableFuture<Answer> first = applyAsync("maela", "e1", base, "a" + round);
      CompletableFuture<Answer> second = applyAsync("yann", "e2", base, "b" + round);
      answers.add(first.join());
      answers.add(second.join());
    }
  }

  private CompletableFuture<Answer> applyAsync(String name, String entry, long base, String id) {
    ObjectNode change =
        TestCluster.JSON.createObjectNode().put("baseVersion", base).put("changeId", id);
    ObjectNode document = TestCluster.fleetDocument();
    ((ObjectNode) document.path("teams").path("plates")).put("weight", 1 + base % 7);
    change.put("reason", "weight of " + name).set("document", document);
    return CompletableFuture.supplyAsync(
        () -> operator(name, entry, "PUT", "/v1/fleet", "" + change));
  }

  @Then("exactly one of each pair is accepted and the other learns of it")
  public void checkRace() {
    for (int i = 0; i < answers.size(); i += 2) {
      Answer first = answers.get(i);
      Answer second = answers.get(i + 1);
      Answer winner = first.status() == 200 ? first : second;
      Answer loser = first.status() == 200 ? second : first;
      String winnerName = first.status() == 200 ? "maela" : "yann";
      assertEquals(winner.status(), 200, first + " and " + second);
      assertEquals(loser.status(), 409, first + " and " + second);
      assertEquals(loser.json().path("owner").asText(), winnerName);
      assertEquals(loser.json().path("version"), winner.json().path("version"));
    }
  }

  @When("the same change is sent through both entries at once")
  public void resend() {
    answers.clear();
    String body = exception("resent", "same-change");
    List<CompletableFuture<Answer>> calls = new ArrayList<>();
    for (String entry : List.of("e1", "e2", "e1", "e2")) {
      calls.add(
          CompletableFuture.supplyAsync(
              () -> operator("maela", entry, "POST", "/v1/exceptions", body)));
    }
    calls.forEach(call -> answers.add(call.join()));
  }

  @Then("all answers are the same")
  public void checkSame() {
    assertEquals(answers.get(0).status(), 200, answers.toString());
    for (Answer answer : answers) {
      assertEquals(answer.body(), answers.get(0).body());
    }
    acceptedVersions.put("same-change", answers.get(0).json().path("version").asLong());
  }

  @Then("every accepted change is in the history once")
  public void checkHistory() {
    JsonNode changes =
        operator("yann", "e2", "GET", "/v1/fleet/history", "").json().path("changes");
    Map<String, Long> history = new TreeMap<>();
    for (JsonNode change : changes) {
      Long before = history.put(change.path("changeId").asText(), change.path("version").asLong());
      assertTrue(before == null, "twice in the history: " + change);
    }
    acceptedVersions.forEach(
        (id, version) -> assertEquals(history.get(id), version, id + " in " + history));
  }

  @Then("all entries have the newest version in force")
  public void checkInForce() {
    await()
        .atMost(LIMIT)
        .until(
            () -> {
              JsonNode rows = status().path("configInForce");
              boolean all = rows.size() == context.cluster().entries().size();
              for (JsonNode row : rows) {
                all &= row.path("version").asLong() == fleetVersion();
              }
              return all;
            });
  }

  @Then("the cluster has {int} voters and none lags")
  public void checkVoters(int voters) {
    await()
        .atMost(LIMIT)
        .until(
            () -> {
              JsonNode rows = status().path("replicas");
              boolean all = rows.size() == voters;
              for (JsonNode row : rows) {
                all &= row.path("voter").asBoolean() && row.path("lag").asLong() == 0;
              }
              return all;
            });
  }

  private JsonNode status() {
    return operator("maela", "e1", "GET", "/v1/status", "").json();
  }

  private long fleetVersion() {
    return operator("maela", "e1", "GET", "/v1/fleet", "").json().path("version").asLong();
  }

  private String leader() {
    await().atMost(LIMIT).until(() -> status().path("leader").asText().contains("/"));
    String replica = status().path("leader").asText();
    return replica.substring(0, replica.indexOf('/'));
  }

  private Answer operator(String name, String entry, String method, String path, String body) {
    return context.cluster().call(entry, method, path, name + "-token", body);
  }
}
