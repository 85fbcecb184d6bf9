package org.hickoryspar.standins.scenario;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.concurrent.locks.LockSupport;
import org.hickoryspar.standins.scenario.TestCluster.Response;

/** Steps that submit jobs and check them against the task history of the simulated platform. */
public class JobSteps {

  private static final Duration TIMEOUT = Duration.ofSeconds(90);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ScenarioContext context;
  private final ClusterSteps clusterSteps;
  private final List<String> jobIds = new ArrayList<>();
  private final Map<String, Response> cancellations = new LinkedHashMap<>();
  private long takenOutMillis;
  private long restoredMillis;

  /** Creates the steps of the scenario with this context. */
  public JobSteps(ScenarioContext context, ClusterSteps clusterSteps) {
    this.context = context;
    this.clusterSteps = clusterSteps;
  }

  @When("a gang of {int} tasks on one {word} for {int} s is submitted")
  public void submitGang(int tasks, String adjacency, int seconds) {
    jobIds.add(submit("plates", TestCluster.TEAM_TOKEN, tasks, adjacency, seconds, false));
  }

  @When("{int} jobs of 1 accelerator for {int} s are submitted")
  public void submitJobs(int count, int seconds) {
    for (int i = 0; i < count; i++) {
      jobIds.add(submit("plates", TestCluster.TEAM_TOKEN, 1, "none", seconds, true));
    }
  }

  /** Retries the submission with the same idempotency key until it is accepted. */
  private String submit(
      String team, String token, int tasks, String adjacency, int seconds, boolean preemptible) {
    ObjectNode job =
        TestCluster.JSON
            .createObjectNode()
            .put("name", "job")
            .put("kind", "reconstruction")
            .put("tasks", tasks)
            .put("adjacency", adjacency)
            .put("declaredRunSeconds", seconds)
            .put("preemptible", preemptible);
    job.putObject("perTask").put("cores", 1).put("memoryMegabytes", 100).put("accelerators", 1);
    String key = IdempotencyKeyGenerator.newKey();
    Response[] response = new Response[1];
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              response[0] =
                  context
                      .cluster()
                      .call("e1", "POST", "/v1/jobs", token, "" + job, "Idempotency-Key", key);
              return response[0].status() == 200;
            });
    return response[0].json().path("id").asText();
  }

  @When("{int} ms later the leader is {word}")
  public void changeLeaderStateLater(int millis, String state) throws Exception {
    LockSupport.parkNanos(millis * NANOS_PER_MILLI);
    clusterSteps.changeLeaderState(state);
  }

  @Then("the job ends as {word}")
  public void awaitResult(String result) {
    await().atMost(TIMEOUT).until(() -> job(jobIds.get(0)).path("result").asText().equals(result));
  }

  @Then("all jobs end as {word}")
  public void awaitResults(String result) {
    for (String id : jobIds) {
      await().atMost(TIMEOUT).until(() -> job(id).path("result").asText().equals(result));
    }
  }

  @Given("worker {word} fails every task")
  public void failTasks(String worker) {
    setFaults("failTasksOn", worker);
  }

  @When("the gang runs")
  public void awaitRunning() {
    await()
        .atMost(TIMEOUT)
        .until(() -> job(jobIds.get(0)).path("phase").asText().equals("running"));
  }

  @When("its worker goes silent")
  public void silenceWorker() {
    setFaults("silentWorkers", job(jobIds.get(0)).path("workers").path(0).asText());
  }

  @Then("the gang runs on other workers")
  public void awaitOtherWorkers() {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              JsonNode job = job(jobIds.get(0));
              return job.path("attempt").asInt() > 1
                  && job.path("phase").asText().equals("running");
            });
  }

  @When("jobs are submitted for {int} s and data centre {word} is taken out after {int} s")
  public void submitWhileTakingOut(int seconds, String dataCentre, int outAfterSeconds) {
    long startMillis = nowMillis();
    boolean takenOut = false;
    while (nowMillis() - startMillis < seconds * 1000L) {
      jobIds.add(submit("plates", TestCluster.TEAM_TOKEN, 1, "none", 1, true));
      if (!takenOut && nowMillis() - startMillis > outAfterSeconds * 1000L) {
        changeDataCentre(dataCentre, "out");
        takenOutMillis = nowMillis();
        takenOut = true;
      }
    }
  }

  private void changeDataCentre(String dataCentre, String direction) {
    String body =
        TestCluster.JSON
            .createObjectNode()
            .put("changeId", dataCentre + direction)
            .put("reason", "cooling")
            .toString();
    String path = "/v1/data-centres/" + dataCentre + "/" + direction;
    Response response = context.cluster().call("e2", "POST", path, "maela-token", body);
    assertEquals(response.status(), 200, response.toString());
  }

  @Then("nothing started in {word} later than {int} s after the answer")
  public void checkNoLateStart(String dataCentre, int seconds) throws IOException {
    int starts = 0;
    for (JsonNode row : context.cluster().platformHistory()) {
      if (row.path("dataCentre").asText().equals(dataCentre)) {
        long lateMillis = row.path("startedMillis").asLong() - takenOutMillis;
        assertTrue(lateMillis <= seconds * 1000L, "late start: " + row);
        starts++;
      }
    }
    assertTrue(starts > 0, "no job ever started in " + dataCentre);
  }

  @When("data centre {word} is taken in")
  public void restoreDataCentre(String dataCentre) {
    changeDataCentre(dataCentre, "in");
    restoredMillis = nowMillis();
  }

  @Then("jobs start in {word} again")
  public void awaitStarts(String dataCentre) {
    // The other two data centres have 16 workers, so some of these gangs need the third.
    for (int i = 0; i < 20; i++) {
      jobIds.add(submit("plates", TestCluster.TEAM_TOKEN, 8, "worker", 20, true));
    }
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              for (JsonNode row : context.cluster().platformHistory()) {
                if (row.path("dataCentre").asText().equals(dataCentre)
                    && row.path("startedMillis").asLong() > restoredMillis) {
                  return true;
                }
              }
              return false;
            });
  }

  @When("{int} gangs of {int} tasks for {int} s are submitted and all are cancelled at once")
  public void submitAndCancelGangs(int count, int tasks, int seconds) {
    for (int i = 0; i < count; i++) {
      jobIds.add(submit("plates", TestCluster.TEAM_TOKEN, tasks, "none", seconds, true));
    }
    Map<String, CompletableFuture<Response>> calls = new LinkedHashMap<>();
    for (String id : jobIds) {
      calls.put(
          id,
          CompletableFuture.supplyAsync(
              () ->
                  context
                      .cluster()
                      .call("e2", "DELETE", "/v1/jobs/" + id, TestCluster.TEAM_TOKEN, "")));
    }
    calls.forEach((id, call) -> cancellations.put(id, call.join()));
  }

  @Then("each cancellation was answered truthfully")
  public void checkCancellations() {
    for (Map.Entry<String, Response> cancellation : cancellations.entrySet()) {
      assertEquals(cancellation.getValue().status(), 200, cancellation.toString());
      await()
          .atMost(TIMEOUT)
          .until(() -> job(cancellation.getKey()).path("result").asText().equals("cancelled"));
    }
  }

  @Then("no task runs any more")
  public void awaitNothingRuns() {
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              for (JsonNode row : context.cluster().platformHistory()) {
                if (List.of("prepared", "running").contains(row.path("state").asText())) {
                  return false;
                }
              }
              return true;
            });
  }

  @When("team {word} fills the fleet with preemptible work")
  public void fillFleet(String team) {
    List<String> preemptibleJobIds = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      preemptibleJobIds.add(submit(team, team + "-token", 4, "worker", 300, true));
    }
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              int running = 0;
              for (JsonNode row : context.cluster().platformHistory()) {
                running += row.path("state").asText().equals("running") ? 1 : 0;
              }
              return running == 4 * preemptibleJobIds.size();
            });
  }

  /**
   * Compares the start and end times of the tasks of each attempt, as the platform recorded them.
   */
  @Then("no part of a gang ran without the rest for more than {int} s")
  public void checkGangsRanWhole(int seconds) throws IOException {
    for (List<JsonNode> gang : tasksByAttempt().values()) {
      int size = job(gang.get(0).path("jobId").asText()).path("tasks").asInt(gang.size());
      long lastStartedMillis = Long.MIN_VALUE;
      long firstStartedMillis = Long.MAX_VALUE;
      long firstEndedMillis = Long.MAX_VALUE;
      long lastEndedMillis = Long.MIN_VALUE;
      int startedTasks = 0;
      for (JsonNode row : gang) {
        if (row.path("startedMillis").asLong() >= 0) {
          startedTasks++;
          firstStartedMillis = Math.min(firstStartedMillis, row.path("startedMillis").asLong());
          lastStartedMillis = Math.max(lastStartedMillis, row.path("startedMillis").asLong());
          firstEndedMillis = Math.min(firstEndedMillis, endedMillisOrNow(row));
          lastEndedMillis = Math.max(lastEndedMillis, endedMillisOrNow(row));
        }
      }
      if (startedTasks > 0) {
        long partialRunMillis =
            startedTasks < size
                ? lastEndedMillis - firstStartedMillis
                : lastStartedMillis - firstStartedMillis;
        assertTrue(
            partialRunMillis <= seconds * 1000L,
            "part of a gang ran " + partialRunMillis + " ms: " + gang);
        assertTrue(
            lastEndedMillis - firstEndedMillis <= seconds * 1000L,
            "tasks of a gang ended at different times: " + gang);
      }
    }
  }

  @Then("no task of the job ran twice at the same time")
  public void checkOneAttemptAtATime() throws IOException {
    long previousEndMillis = Long.MIN_VALUE;
    for (List<JsonNode> gang : tasksByAttempt().values()) {
      long startMillis = Long.MAX_VALUE;
      long endMillis = previousEndMillis;
      for (JsonNode row : gang) {
        if (row.path("startedMillis").asLong() >= 0) {
          startMillis = Math.min(startMillis, row.path("startedMillis").asLong());
          endMillis = Math.max(endMillis, endedMillisOrNow(row));
        }
      }
      assertTrue(startMillis >= previousEndMillis, "attempts overlap: " + tasksByAttempt());
      previousEndMillis = endMillis;
    }
  }

  private static long endedMillisOrNow(JsonNode row) {
    long endedMillis = row.path("endedMillis").asLong();
    return endedMillis < 0 ? nowMillis() : endedMillis;
  }

  private Map<String, List<JsonNode>> tasksByAttempt() throws IOException {
    Map<String, List<JsonNode>> byAttempt = new LinkedHashMap<>();
    for (JsonNode row : context.cluster().platformHistory()) {
      String leaseId = row.path("leaseId").asText();
      if (jobIds.contains(row.path("jobId").asText())) {
        byAttempt
            .computeIfAbsent(leaseId.substring(0, leaseId.lastIndexOf('-')), k -> new ArrayList<>())
            .add(row);
      }
    }
    return byAttempt;
  }

  private JsonNode job(String id) {
    return context.cluster().call("e2", "GET", "/v1/jobs/" + id, TestCluster.TEAM_TOKEN, "").json();
  }

  private void setFaults(String fault, String worker) {
    ObjectNode faults = TestCluster.JSON.createObjectNode();
    faults.putArray(fault).add(worker);
    context.cluster().call("platform", "POST", "/faults", "", faults.toString());
  }

  /**
   * Returns the time of the machine's monotonic clock, which the simulated platform uses as well.
   */
  private static long nowMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }
}
