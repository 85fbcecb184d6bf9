package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.protocol.Endpoint;
import org.hickoryspar.protocol.EndpointSpread;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Outcome;
import org.hickoryspar.standins.minion.Faults;
import org.hickoryspar.standins.minion.MinionServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EntryRulesTest {

  private static final long DAY_MILLIS = 24 * 3_600_000L;

  // -- routing and validation

  /** Columns: method, path, token, header, value, body, status, code. */
  private static Object[][] invalidCalls() {
    String path = "/v1/services/catalogue/requests";
    String key = "Idempotency-Key";
    String announce = "/v1/endpoints/announce";
    String good = EntryHarness.newKey();
    String expired = EntryHarness.newKey(System.currentTimeMillis() - DAY_MILLIS - 60_000);
    String future = EntryHarness.newKey(System.currentTimeMillis() + 600_000);
    return new Object[][] {
      {"POST", path, "", key, good, "x", 401, "token"},
      {"POST", path, "team-wrong", key, good, "x", 401, "token"},
      {"POST", path, "operator-olive", key, good, "x", 401, "token"},
      {"POST", path, "team-nobody", key, good, "x", 401, "unknown-team"},
      {"POST", path, "team-north", "X-None", "1", "x", 400, "malformed"},
      {"POST", path, "team-north", key, "17", "x", 400, "malformed-key"},
      {
        "POST",
        path,
        "team-north",
        key,
        "6f1c1f6e-8f2c-4a51-9c39-3a8f5b1d2c3e",
        "x",
        400,
        "malformed-key"
      },
      {"POST", path, "team-north", key, expired, "x", 410, "key-expired"},
      {"POST", path, "team-north", key, future, "x", 400, "key-in-future"},
      {"POST", path, "team-north", "Hickoryspar-Idempotent", "yes", "x", 400, "malformed"},
      {"POST", path, "team-north", "Hickoryspar-Deadline-Millis", "-1", "x", 400, "malformed"},
      {"POST", path, "team-north", key, good, "x".repeat(1_000_001), 413, "too-large"},
      {"GET", path, "team-north", key, good, "", 405, "method"},
      {"POST", "/v1/services/other/requests", "team-north", key, good, "x", 404, "unknown-service"},
      {"POST", "/v1/none", "team-north", key, good, "x", 404, "no-such-path"},
      {"POST", announce, "minion-catalogue", "X-None", "1", "{", 400, "malformed"},
      {"POST", announce, "minion-catalogue", "X-None", "1", "{\"service\":7}", 400, "malformed"},
      {"POST", announce, "minion-catalogue", "X-None", "1", "x".repeat(5_000), 413, "too-large"},
      {"POST", announce, "team-north", "X-None", "1", "{}", 401, "token"},
      {"POST", "/v1/jobs", "team-north", key, good, "[]", 400, "malformed"},
      {
        "PUT",
        "/v1/fleet",
        "operator-olive",
        "X-None",
        "1",
        "{\"baseVersion\":\"x\"}",
        400,
        "malformed"
      },
      {"PUT", "/v1/fleet", "team-north", "X-None", "1", "{}", 401, "token"},
    };
  }

  /** Guards against malformed, oversized or unauthorised calls that reach a minion or control. */
  @Test
  public void shouldRejectCallsWhenTheyAreInvalid() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      for (Object[] row : invalidCalls()) {
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + row[1]))
                .method((String) row[0], HttpRequest.BodyPublishers.ofString((String) row[5]))
                .header((String) row[3], (String) row[4]);
        if (!row[2].equals("")) {
          request.header("Authorization", "Bearer " + row[2]);
        }
        HttpResponse<String> response =
            harness.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        String description = row[0] + " " + row[1] + " " + row[3] + ": " + response.body();
        assertEquals(response.statusCode(), row[6], description);
        assertTrue(response.body().contains("\"code\":\"" + row[7] + "\""), description);
        assertEquals(EntryHarness.outcome(response), "not-run");
      }
      assertEquals(minion.runCounts(), Map.of());
      assertEquals(harness.control.claimCount.get(), 0);
    }
  }

  /**
   * Guards against a rejection that does not announce the end of its connection: a request body
   * that has not arrived cannot be skipped, so the server closes the connection, and a client
   * without the header would send its next request on it.
   */
  @Test
  public void shouldAnnounceConnectionCloseWhenARejectedBodyIsIncomplete() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      try (Socket socket = new Socket("127.0.0.1", entry.port())) {
        socket.setSoTimeout(10_000);
        String head =
            "POST /v1/services/catalogue/requests HTTP/1.1\r\n"
                + "Host: entry\r\nContent-Length: 5\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));

        String response =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

        assertTrue(response.startsWith("HTTP/1.1 401"), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
      }
    }
  }

  // -- idempotency keys

  /** Guards against a second run, or a different response, when a key is submitted again. */
  @Test
  public void shouldReplayTheResponseWhenAKeyIsSubmittedAgainThroughAnyEntry() throws Exception {
    try (EntryHarness harness = new EntryHarness(2, 1_000)) {
      EntryDaemon first = harness.startEntry();
      EntryDaemon second = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      harness.awaitServing(second);
      String key = EntryHarness.newKey();
      byte[] otherBody = "other".getBytes(StandardCharsets.UTF_8);
      assertEquals(harness.call(first, "north", false).key(key).send().join().statusCode(), 200);
      for (EntryDaemon entry : List.of(first, second)) {
        HttpResponse<byte[]> secondResponse =
            harness.call(entry, "north", false).key(key).send().join();
        assertEquals(secondResponse.statusCode(), 200);
        assertEquals(EntryHarness.outcome(secondResponse), "answered");
        assertEquals(new String(secondResponse.body(), StandardCharsets.UTF_8), "wear");
        HttpResponse<byte[]> conflictResponse =
            harness.call(entry, "north", false).key(key).body(otherBody).send().join();
        assertEquals(conflictResponse.statusCode(), 409);
      }
      assertEquals(minion.runCounts(), Map.of(key, 1));
    }
  }

  // -- loss of an entry

  /** Columns: point at which the entry stops, outcome of a later submission, runs at the minion. */
  @DataProvider
  Object[][] stops() {
    return new Object[][] {
      {"before the claim", "answered", 1},
      {"after the claim", "unknown", 0},
      {"after sending", "unknown", 1},
      {"after the answer", "unknown", 1},
    };
  }

  /** Guards against a second run, or a wrong outcome, when an entry stops at any step. */
  @Test(dataProvider = "stops")
  public void shouldNotRunTwiceWhenAnEntryStops(String stopPoint, String outcome, int runs)
      throws Exception {
    try (EntryHarness harness = new EntryHarness(2, 1_000)) {
      EntryDaemon first = harness.startEntry();
      EntryDaemon second = harness.startEntry();
      Faults neverRespond = new Faults(false, false, 0, false, false, true, false, false, 0, 0);
      MinionServer minion =
          harness.startMinion(stopPoint.equals("after sending") ? neverRespond : Faults.NONE);
      harness.awaitServing(second);
      String key = EntryHarness.newKey();
      switch (stopPoint) {
        case "before the claim" -> harness.control.reachable = false;
        case "after the claim" -> harness.control.beforeClaimResponse = CompletableFuture::new;
        case "after the answer" -> harness.control.recordGate = new CompletableFuture<>();
        default -> assertEquals(stopPoint, "after sending");
      }
      CompletableFuture<HttpResponse<byte[]>> call =
          harness.call(first, "north", false).key(key).send();
      switch (stopPoint) {
        case "before the claim" -> assertEquals(EntryHarness.outcome(call.join()), "not-run");
        case "after the claim" ->
            await().atMost(EntryHarness.TIMEOUT).until(() -> harness.control.claimCount.get() == 1);
        case "after the answer" -> assertEquals(EntryHarness.outcome(call.join()), "answered");
        default ->
            await().atMost(EntryHarness.TIMEOUT).until(() -> minion.runCounts().containsKey(key));
      }
      first.close();
      harness.control.handleEntryLost("e0");
      harness.control.reachable = true;
      harness.control.beforeClaimResponse = () -> CompletableFuture.completedFuture(true);
      harness.control.recordGate = CompletableFuture.completedFuture(true);
      minion.setFaults(Faults.NONE);
      harness.awaitServing(second);
      HttpResponse<byte[]> secondResponse =
          harness.call(second, "north", false).key(key).send().join();
      assertEquals(EntryHarness.outcome(secondResponse), outcome);
      assertEquals(minion.runCounts().getOrDefault(key, 0), runs);
    }
  }

  /** Guards against a lost claim response that blocks its key or hides an earlier run. */
  @Test
  public void shouldKeepTheOutcomeOfAnEarlierRunWhenAClaimResponseIsLost() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion =
          harness.startMinion(new Faults(false, false, 0, false, false, true, false, false, 0, 0));
      String runKey = EntryHarness.newKey();
      String unusedKey = EntryHarness.newKey();
      harness.call(entry, "north", false).key(runKey).deadline(300).send().join();
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> harness.control.outcome("north", runKey) != null);
      harness.control.beforeClaimResponse = () -> CompletableFuture.completedFuture(false);
      for (String key : List.of(runKey, unusedKey)) {
        HttpResponse<byte[]> response = harness.call(entry, "north", false).key(key).send().join();
        assertEquals(EntryHarness.outcome(response), "not-run");
      }
      harness.control.beforeClaimResponse = () -> CompletableFuture.completedFuture(true);
      int claimsBefore = harness.control.claimCount.get();
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> harness.control.outcome("north", unusedKey) != null);
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> harness.control.claimCount.get() >= claimsBefore + 2);
      assertEquals(harness.control.outcome("north", unusedKey).getKind(), Outcome.Kind.NOT_RUN);
      assertEquals(harness.control.outcome("north", runKey).getKind(), Outcome.Kind.UNKNOWN);
      assertEquals(minion.runCounts(), Map.of(runKey, 1));
    }
  }

  /** Guards against a response after the deadline, and against a key that stays in progress. */
  @Test
  public void shouldFailNotRunAtTheDeadlineWhenTheClaimIsSlow() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      CompletableFuture<Boolean> claimGate = new CompletableFuture<>();
      harness.control.beforeClaimResponse = () -> claimGate;
      String key = EntryHarness.newKey();
      HttpResponse<byte[]> response =
          harness.call(entry, "north", false).key(key).deadline(300).send().join();
      assertEquals(EntryHarness.outcome(response), "not-run");
      claimGate.complete(true);
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> harness.control.outcome("north", key) != null);
      assertEquals(harness.control.outcome("north", key).getKind(), Outcome.Kind.NOT_RUN);
      assertEquals(minion.runCounts(), Map.of());
    }
  }

  // -- configuration

  /** Guards against new requests from an entry without contact to control, or an old version. */
  @Test
  public void shouldFailNotRunWhenTheConfigurationLeaseHasExpired() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      harness.control.reachable = false;
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(
              () ->
                  EntryHarness.outcome(harness.call(entry, "north", true).send().join())
                      .equals("not-run"));
      int runsBefore = minion.runCounts().size();
      assertEquals(
          EntryHarness.outcome(harness.call(entry, "north", true).send().join()), "not-run");
      assertEquals(minion.runCounts().size(), runsBefore);
      harness.control.reachable = true;
      harness.awaitServing(entry);
      assertEquals(
          EntryHarness.outcome(harness.call(entry, "north", true).send().join()), "answered");
    }
  }

  /** Guards against requests to a data centre out of service, and against an older version. */
  @Test
  public void shouldSendNoRequestsWhenTheDataCentreIsOutOfService() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      String documentTemplate =
          "{\"teams\":{\"north\":{}},\"dataCentres\":{\"brest-a\":{\"out\":%s}},"
              + "\"services\":{\"catalogue\":{}}}";
      harness.control.configure(5, String.format(documentTemplate, "true"));
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(
              () ->
                  EntryHarness.outcome(harness.call(entry, "north", true).send().join())
                      .equals("not-run"));
      harness.control.configure(4, String.format(documentTemplate, "false"));
      int runsBefore = minion.runCounts().size();
      for (int i = 0; i < 20; i++) {
        assertEquals(
            EntryHarness.outcome(harness.call(entry, "north", true).send().join()), "not-run");
      }
      assertEquals(minion.runCounts().size(), runsBefore);
    }
  }

  // -- endpoints

  /** Guards against an endpoint that a delayed copy of its announcement restores. */
  @Test
  public void shouldKeepTheEndpointRemovedWhenADelayedAnnouncementFollowsALeave() throws Exception {
    try (EntryHarness harness = new EntryHarness(2, 1_000)) {
      EntryDaemon first = harness.startEntry();
      EntryDaemon second = harness.startEntry();
      MinionServer minion = harness.startMinion(Faults.NONE);
      harness.awaitServing(second);
      Endpoint delayedAnnouncement =
          Endpoint.newBuilder()
              .setService("catalogue")
              .setMinionId("m0")
              .setAddress("127.0.0.1:" + minion.port())
              .setDataCentre("brest-a")
              .setIncarnation(1)
              .setSequence(1)
              .setSlots(8)
              .setConnections(60)
              .setTtlMillis(20_000)
              .build();
      assertEquals(minion.leave().join(), Integer.valueOf(200));
      for (EntryDaemon entry : List.of(first, second)) {
        await().atMost(EntryHarness.TIMEOUT).until(() -> !entry.isServing("catalogue", 1));
        entry.receive(
            "e9",
            Envelope.newBuilder()
                .setEndpointSpread(EndpointSpread.newBuilder().addEndpoints(delayedAnnouncement))
                .build());
        assertEquals(
            EntryHarness.outcome(harness.call(entry, "north", true).send().join()), "not-run");
      }
      assertEquals(minion.runCounts(), Map.of());
    }
  }

  // -- control calls

  /** Guards against a job or operator call that is forwarded as a call of another kind. */
  @Test
  public void shouldForwardJobAndOperatorCallsToControl() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      int port = harness.startEntry().port();
      Map<String, String> kindsByCall = new TreeMap<>();
      kindsByCall.put("GET /v1/jobs team-north", "LIST");
      kindsByCall.put("GET /v1/jobs/j1 team-north", "STATUS");
      kindsByCall.put("DELETE /v1/jobs/j1 team-north", "CANCEL");
      kindsByCall.put("GET /v1/fleet operator-olive", "FLEET_GET");
      kindsByCall.put("GET /v1/fleet/history operator-olive", "FLEET_HISTORY");
      kindsByCall.put("POST /v1/data-centres/brest-a/out operator-olive", "DATA_CENTRE_OUT");
      kindsByCall.put("POST /v1/exceptions operator-olive", "EXCEPTION_ADD");
      kindsByCall.put("GET /v1/status operator-olive", "STATUS");
      List<String> kinds = new ArrayList<>();
      for (String call : kindsByCall.keySet()) {
        String[] parts = call.split(" ");
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + parts[1]))
                .method(parts[0], HttpRequest.BodyPublishers.noBody())
                .header("Authorization", "Bearer " + parts[2])
                .build();
        String body = harness.http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        kinds.add(Responses.MAPPER.readTree(body).path("kind").asText());
      }
      assertEquals(kinds, List.copyOf(kindsByCall.values()));
    }
  }
}
