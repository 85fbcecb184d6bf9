package org.hickoryspar.standins.scenario;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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
import org.hickoryspar.standins.scenario.TestCluster.Response;

/** Steps that start a cluster, inject faults into instances and change the configuration. */
public class ClusterSteps {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final ScenarioContext context;
  private final Map<String, Long> acceptedVersions = new TreeMap<>();
  private final List<Response> responses = new ArrayList<>();
  private String lostInstance = "";

  /** Creates the steps of the scenario with this context. */
  public ClusterSteps(ScenarioContext context) {
    this.context = context;
  }

  @After
  public void stopCluster(Scenario scenario) throws Exception {
    if (context.hasCluster()) {
      if (scenario.isFailed()) {
        String logFolder = context.cluster().logFolder();
        scenario.log("logs kept in " + logFolder);
        System.err.println(scenario.getName() + " failed; logs are kept in " + logFolder);
      }
      context.cluster().close();
    }
  }

  @Given("a cluster of {int} control and {int} entry instances with {int} workers")
  public void startCluster(int controls, int entries, int workers) throws Exception {
    TestCluster cluster = new TestCluster(controls, entries, workers);
    context.setCluster(cluster);
    await().atMost(TIMEOUT).until(() -> cluster.entries().stream().allMatch(cluster::isReady));
    await()
        .atMost(TIMEOUT)
        .until(() -> operator("maela", "e1", "GET", "/v1/fleet", "").status() == 200);
    ObjectNode change =
        TestCluster.JSON.createObjectNode().put("baseVersion", 0).put("changeId", "first");
    change.put("reason", "first document").set("document", TestCluster.fleetDocument());
    await()
        .atMost(TIMEOUT)
        .until(() -> operator("maela", "e1", "PUT", "/v1/fleet", "" + change).status() == 200);
    acceptedVersions.put("first", 1L);
  }

  @When("data centre {word} is taken out, taken in, and an older order to take it out arrives")
  public void sendOlderOrder(String dataCentre) {
    long olderVersion =
        operator("maela", "e1", "GET", "/v1/fleet", "").json().path("version").asLong();
    assertEquals(changeDataCentre(dataCentre, "out", "order 1", olderVersion).status(), 200);
    assertEquals(changeDataCentre(dataCentre, "in", "order 2", olderVersion + 1).status(), 200);
    responses.add(changeDataCentre(dataCentre, "out", "order 3", olderVersion));
  }

  private Response changeDataCentre(
      String dataCentre, String direction, String changeId, long baseVersion) {
    ObjectNode change =
        TestCluster.JSON
            .createObjectNode()
            .put("changeId", changeId)
            .put("reason", "cooling")
            .put("baseVersion", baseVersion);
    String path = "/v1/data-centres/" + dataCentre + '/' + direction;
    return operator("maela", "e2", "POST", path, change.toString());
  }

  @Then("the older order is refused and data centre {word} is in service")
  public void checkOlderOrder(String dataCentre) {
    Response refused = responses.get(responses.size() - 1);
    assertEquals(refused.status(), 409, refused.toString());
    assertEquals(refused.json().path("code").asText(), "version-conflict");
    JsonNode document = operator("maela", "e1", "GET", "/v1/fleet", "").json().path("document");
    boolean out = document.path("dataCentres").path(dataCentre).path("out").asBoolean();
    assertFalse(out, document.toString());
  }

  @Given("operator {word} has added {int} exceptions")
  public void addExceptions(String operator, int count) {
    for (int i = 0; i < count; i++) {
      String id = "x" + acceptedVersions.size();
      await().atMost(TIMEOUT).until(() -> tryAddException(operator, id));
    }
  }

  /** Returns whether the change is accepted. Retries reuse its id, as the command line does. */
  private boolean tryAddException(String operator, String id) {
    Response response =
        operator(operator, "e1", "POST", "/v1/exceptions", exceptionRequest(id, "ch-" + id));
    if (response.status() == 200) {
      acceptedVersions.put("ch-" + id, response.json().path("version").asLong());
    }
    return response.status() == 200;
  }

  private static String exceptionRequest(String id, String changeId) {
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
  public void changeLeaderState(String state) throws Exception {
    lostInstance = leader();
    changeState(lostInstance, state);
  }

  @When("control instance {word} is {word}")
  public void changeInstanceState(String name, String state) throws Exception {
    changeState(name, state);
  }

  private void changeState(String name, String state) throws Exception {
    TestCluster cluster = context.cluster();
    switch (state) {
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
        cluster.deleteDataFolder(name);
        cluster.start(name);
      }
      default -> throw new IllegalArgumentException(state);
    }
  }

  @When("the lost instance is {word}")
  public void recoverLostInstance(String state) throws Exception {
    changeState(lostInstance, state);
  }

  @When("all instances are restarted one after the other")
  public void rollingRestart() throws Exception {
    for (String name : context.cluster().controls()) {
      context.cluster().stop(name);
      context.cluster().start(name);
      await().atMost(TIMEOUT).until(() -> context.cluster().isReady(name));
    }
  }

  @When("the replica of {word} is replaced")
  public void replaceReplica(String name) throws Exception {
    await().atMost(TIMEOUT).until(() -> newReplicaId(name).length() > 0);
    String body =
        TestCluster.JSON
            .createObjectNode()
            .put("replicaId", newReplicaId(name))
            .put("replaces", name + "/1")
            .toString();
    await()
        .atMost(TIMEOUT)
        .until(() -> operator("maela", "e1", "POST", "/v1/replicas", body).status() == 200);
  }

  private String newReplicaId(String name) throws Exception {
    var matcher = Pattern.compile(name + "/[0-9a-f]{16}").matcher(context.cluster().readLog(name));
    return matcher.find() ? matcher.group() : "";
  }

  @When("two operators apply the same base version at once, {int} times")
  public void applyConcurrently(int rounds) {
    for (int round = 0; round < rounds; round++) {
      long baseVersion = fleetVersion();
      CompletableFuture<Response> first = applyAsync("maela", "e1", baseVersion, "a" + round);
      CompletableFuture<Response> second = applyAsync("yann", "e2", baseVersion, "b" + round);
      responses.add(first.join());
      responses.add(second.join());
    }
  }

  private CompletableFuture<Response> applyAsync(
      String name, String entry, long baseVersion, String id) {
    ObjectNode change =
        TestCluster.JSON.createObjectNode().put("baseVersion", baseVersion).put("changeId", id);
    ObjectNode document = TestCluster.fleetDocument();
    ((ObjectNode) document.path("teams").path("plates")).put("weight", 1 + baseVersion % 7);
    change.put("reason", "weight of " + name).set("document", document);
    return CompletableFuture.supplyAsync(
        () -> operator(name, entry, "PUT", "/v1/fleet", "" + change));
  }

  @Then("exactly one of each pair is accepted and the other learns of it")
  public void checkOneAccepted() {
    for (int i = 0; i < responses.size(); i += 2) {
      Response first = responses.get(i);
      Response second = responses.get(i + 1);
      Response accepted = first.status() == 200 ? first : second;
      Response rejected = first.status() == 200 ? second : first;
      String acceptedOperator = first.status() == 200 ? "maela" : "yann";
      assertEquals(accepted.status(), 200, first + " and " + second);
      assertEquals(rejected.status(), 409, first + " and " + second);
      assertEquals(rejected.json().path("owner").asText(), acceptedOperator);
      assertEquals(rejected.json().path("version"), accepted.json().path("version"));
    }
  }

  @When("the same change is sent through both entries at once")
  public void sendSameChangeConcurrently() {
    responses.clear();
    String body = exceptionRequest("resent", "same-change");
    List<CompletableFuture<Response>> pendingResponses = new ArrayList<>();
    for (String entry : List.of("e1", "e2", "e1", "e2")) {
      pendingResponses.add(
          CompletableFuture.supplyAsync(
              () -> operator("maela", entry, "POST", "/v1/exceptions", body)));
    }
    pendingResponses.forEach(call -> responses.add(call.join()));
  }

  @Then("all answers are the same")
  public void checkIdenticalResponses() {
    assertEquals(responses.get(0).status(), 200, responses.toString());
    for (Response response : responses) {
      assertEquals(response.body(), responses.get(0).body());
    }
    acceptedVersions.put("same-change", responses.get(0).json().path("version").asLong());
  }

  @Then("every accepted change is in the history once")
  public void checkHistory() {
    JsonNode changes =
        operator("yann", "e2", "GET", "/v1/fleet/history", "").json().path("changes");
    Map<String, Long> history = new TreeMap<>();
    for (JsonNode change : changes) {
      Long previousVersion =
          history.put(change.path("changeId").asText(), change.path("version").asLong());
      assertTrue(previousVersion == null, "change is in the history twice: " + change);
    }
    acceptedVersions.forEach(
        (id, version) -> assertEquals(history.get(id), version, id + " in " + history));
  }

  @Then("all entries have the newest version in force")
  public void awaitNewestVersionInForce() {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              JsonNode rows = status().path("configInForce");
              boolean allInForce = rows.size() == context.cluster().entries().size();
              for (JsonNode row : rows) {
                allInForce &= row.path("version").asLong() == fleetVersion();
              }
              return allInForce;
            });
  }

  @Then("the cluster has {int} voters and none lags")
  public void awaitVoters(int voters) {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              JsonNode rows = status().path("replicas");
              boolean allCaughtUp = rows.size() == voters;
              for (JsonNode row : rows) {
                allCaughtUp &= row.path("voter").asBoolean() && row.path("lag").asLong() == 0;
              }
              return allCaughtUp;
            });
  }

  private JsonNode status() {
    return operator("maela", "e1", "GET", "/v1/status", "").json();
  }

  private long fleetVersion() {
    return operator("maela", "e1", "GET", "/v1/fleet", "").json().path("version").asLong();
  }

  private String leader() {
    await().atMost(TIMEOUT).until(() -> status().path("leader").asText().contains("/"));
    String replica = status().path("leader").asText();
    return replica.substring(0, replica.indexOf('/'));
  }

  private Response operator(String name, String entry, String method, String path, String body) {
    return context.cluster().call(entry, method, path, name + "-token", body);
  }
}
