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
import org.hickoryspar.standins.minion.Minion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EntryRulesTest {

  private static final long DAY_MILLIS = 24 * 3_600_000L;

  // -- routing and checks

  /** Columns: method, path, token, header, value, body, status, code. */
  private static Object[][] badCalls() {
    String path = "/v1/services/catalogue/requests";
    String key = "Idempotency-Key";
    String announce = "/v1/endpoints/announce";
    String good = Rig.newKey();
    String old = Rig.newKey(System.currentTimeMillis() - DAY_MILLIS - 60_000);
    String ahead = Rig.newKey(System.currentTimeMillis() + 600_000);
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
      {"POST", path, "team-north", key, old, "x", 410, "key-expired"},
      {"POST", path, "team-north", key, ahead, "x", 400, "key-in-future"},
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

  /** Guards against malformed, oversize or unauthorised calls that reach a minion or control. */
  @Test
  public void shouldRejectBadCalls() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      for (Object[] row : badCalls()) {
        HttpRequest.Builder request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + row[1]))
                .method((String) row[0], HttpRequest.BodyPublishers.ofString((String) row[5]))
                .header((String) row[3], (String) row[4]);
        if (!row[2].equals("")) {
          request.header("Authorization", "Bearer " + row[2]);
        }
        HttpResponse<String> answer =
            rig.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        String seen = row[0] + " " + row[1] + " " + row[3] + ": " + answer.body();
        assertEquals(answer.statusCode(), row[6], seen);
        assertTrue(answer.body().contains("\"code\":\"" + row[7] + "\""), seen);
        assertEquals(Rig.outcome(answer), "not-run");
      }
      assertEquals(minion.runs(), Map.of());
      assertEquals(rig.control.claims.get(), 0);
    }
  }

  /**
   * Guards against a connection that is kept open after a refusal and then ends under the next
   * request: a body that has not arrived when the answer is written cannot be skipped.
   */
  @Test
  public void shouldSayThatItClosesTheConnectionWhenARefusedBodyHasNotArrived() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      try (Socket socket = new Socket("127.0.0.1", entry.port())) {
        socket.setSoTimeout(10_000);
        String head =
            "POST /v1/services/catalogue/requests HTTP/1.1\r\n"
                + "Host: entry\r\nContent-Length: 5\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));

        String answer =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

        assertTrue(answer.startsWith("HTTP/1.1 401"), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
      }
    }
  }

  // -- idempotency keys

  /** Guards against a second run, or another answer, when a key is submitted again. */
  @Test
  public void shouldGiveTheSameAnswerWhenAKeyComesAgainThroughAnyEntry() throws Exception {
    try (Rig rig = new Rig(2, 1_000)) {
      EntryDaemon first = rig.startEntry();
      EntryDaemon second = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      rig.awaitServing(second);
      String key = Rig.newKey();
      byte[] other = "other".getBytes(StandardCharsets.UTF_8);
      assertEquals(rig.call(first, "north", false).key(key).send().join().statusCode(), 200);
      for (EntryDaemon entry : List.of(first, second)) {
        HttpResponse<byte[]> again = rig.call(entry, "north", false).key(key).send().join();
        assertEquals(again.statusCode(), 200);
        assertEquals(Rig.outcome(again), "answered");
        assertEquals(new String(again.body(), StandardCharsets.UTF_8), "wear");
        HttpResponse<byte[]> reused =
            rig.call(entry, "north", false).key(key).body(other).send().join();
        assertEquals(reused.statusCode(), 409);
      }
      assertEquals(minion.runs(), Map.of(key, 1));
    }
  }

  // -- an entry that stops

  /** Columns: where the entry stops, outcome of a later submission, runs at the minion. */
  @DataProvider
  Object[][] stops() {
    return new Object[][] {
      {"before the claim", "answered", 1},
      {"after the claim", "unknown", 0},
      {"after sending", "unknown", 1},
      {"after the answer", "unknown", 1},
    };
  }

  /** Guards against a second run, or a wrong outcome, when an entry dies at any step. */
  @Test(dataProvider = "stops")
  public void shouldNotRunTwiceWhenAnEntryStops(String where, String outcome, int runs)
      throws Exception {
    try (Rig rig = new Rig(2, 1_000)) {
      EntryDaemon first = rig.startEntry();
      EntryDaemon second = rig.startEntry();
      Faults never = new Faults(false, false, 0, false, false, true, false, false, 0, 0);
      Minion minion = rig.startMinion(where.equals("after sending") ? never : Faults.NONE);
      rig.awaitServing(second);
      String key = Rig.newKey();
      switch (where) {
        case "before the claim" -> rig.control.reachable = false;
        case "after the claim" -> rig.control.beforeClaimAnswer = CompletableFuture::new;
        case "after the answer" -> rig.control.recordGate = new CompletableFuture<>();
        default -> assertEquals(where, "after sending");
      }
      CompletableFuture<HttpResponse<byte[]>> call =
          rig.call(first, "north", false).key(key).send();
      switch (where) {
        case "before the claim" -> assertEquals(Rig.outcome(call.join()), "not-run");
        case "after the claim" ->
            await().atMost(Rig.GENEROUS).until(() -> rig.control.claims.get() == 1);
        case "after the answer" -> assertEquals(Rig.outcome(call.join()), "answered");
        default -> await().atMost(Rig.GENEROUS).until(() -> minion.runs().containsKey(key));
      }
      first.close();
      rig.control.entryLost("e0");
      rig.control.reachable = true;
      rig.control.beforeClaimAnswer = () -> CompletableFuture.completedFuture(true);
      rig.control.recordGate = CompletableFuture.completedFuture(true);
      minion.setFaults(Faults.NONE);
      rig.awaitServing(second);
      HttpResponse<byte[]> again = rig.call(second, "north", false).key(key).send().join();
      assertEquals(Rig.outcome(again), outcome);
      assertEquals(minion.runs().getOrDefault(key, 0), runs);
    }
  }

  /** Guards against a lost claim answer that blocks its key or hides an earlier run. */
  @Test
  public void shouldKeepTheOutcomeOfAnEarlierRunWhenAClaimAnswerIsLost() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      Minion minion =
          rig.startMinion(new Faults(false, false, 0, false, false, true, false, false, 0, 0));
      String ran = Rig.newKey();
      String fresh = Rig.newKey();
      rig.call(entry, "north", false).key(ran).deadline(300).send().join();
      await().atMost(Rig.GENEROUS).until(() -> rig.control.outcome("north", ran) != null);
      rig.control.beforeClaimAnswer = () -> CompletableFuture.completedFuture(false);
      for (String key : List.of(ran, fresh)) {
        HttpResponse<byte[]> lost = rig.call(entry, "north", false).key(key).send().join();
        assertEquals(Rig.outcome(lost), "not-run");
      }
      rig.control.beforeClaimAnswer = () -> CompletableFuture.completedFuture(true);
      int claims = rig.control.claims.get();
      await().atMost(Rig.GENEROUS).until(() -> rig.control.outcome("north", fresh) != null);
      await().atMost(Rig.GENEROUS).until(() -> rig.control.claims.get() >= claims + 2);
      assertEquals(rig.control.outcome("north", fresh).getKind(), Outcome.Kind.NOT_RUN);
      assertEquals(rig.control.outcome("north", ran).getKind(), Outcome.Kind.UNKNOWN);
      assertEquals(minion.runs(), Map.of(ran, 1));
    }
  }

  /** Guards against a caller that waits beyond its deadline, and a key that stays in progress. */
  @Test
  public void shouldAnswerNotRunAtTheDeadlineWhenTheClaimIsSlow() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      CompletableFuture<Boolean> claimed = new CompletableFuture<>();
      rig.control.beforeClaimAnswer = () -> claimed;
      String key = Rig.newKey();
      HttpResponse<byte[]> answer =
          rig.call(entry, "north", false).key(key).deadline(300).send().join();
      assertEquals(Rig.outcome(answer), "not-run");
      claimed.complete(true);
      await().atMost(Rig.GENEROUS).until(() -> rig.control.outcome("north", key) != null);
      assertEquals(rig.control.outcome("north", key).getKind(), Outcome.Kind.NOT_RUN);
      assertEquals(minion.runs(), Map.of());
    }
  }

  // -- configuration

  /** Guards against new work from an entry that control cannot reach, or with an old version. */
  @Test
  public void shouldAnswerNotRunWhenTheConfigurationLeaseHasExpired() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      rig.control.reachable = false;
      await()
          .atMost(Rig.GENEROUS)
          .until(() -> Rig.outcome(rig.call(entry, "north", true).send().join()).equals("not-run"));
      int before = minion.runs().size();
      assertEquals(Rig.outcome(rig.call(entry, "north", true).send().join()), "not-run");
      assertEquals(minion.runs().size(), before);
      rig.control.reachable = true;
      rig.awaitServing(entry);
      assertEquals(Rig.outcome(rig.call(entry, "north", true).send().join()), "answered");
    }
  }

  /** Guards against requests to a data centre that is out, and against a version that reverts. */
  @Test
  public void shouldSendNothingWhenTheDataCentreIsOut() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      String out =
          "{\"teams\":{\"north\":{}},\"dataCentres\":{\"brest-a\":{\"out\":%s}},"
              + "\"services\":{\"catalogue\":{}}}";
      rig.control.configure(5, String.format(out, "true"));
      await()
          .atMost(Rig.GENEROUS)
          .until(() -> Rig.outcome(rig.call(entry, "north", true).send().join()).equals("not-run"));
      rig.control.configure(4, String.format(out, "false"));
      int before = minion.runs().size();
      for (int i = 0; i < 20; i++) {
        assertEquals(Rig.outcome(rig.call(entry, "north", true).send().join()), "not-run");
      }
      assertEquals(minion.runs().size(), before);
    }
  }

  // -- endpoints

  /** Guards against an endpoint that comes back through a late copy of its announcement. */
  @Test
  public void shouldStayGoneWhenALateAnnouncementFollowsALeave() throws Exception {
    try (Rig rig = new Rig(2, 1_000)) {
      EntryDaemon first = rig.startEntry();
      EntryDaemon second = rig.startEntry();
      Minion minion = rig.startMinion(Faults.NONE);
      rig.awaitServing(second);
      Endpoint late =
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
        await().atMost(Rig.GENEROUS).until(() -> !entry.isServing("catalogue", 1));
        entry.receive(
            "e9",
            Envelope.newBuilder()
                .setEndpointSpread(EndpointSpread.newBuilder().addEndpoints(late))
                .build());
        assertEquals(Rig.outcome(rig.call(entry, "north", true).send().join()), "not-run");
      }
      assertEquals(minion.runs(), Map.of());
    }
  }

  // -- control calls

  /** Guards against a job or operator call that is passed on as something else. */
  @Test
  public void shouldPassJobsAndOperatorCallsToControl() throws Exception {
    try (Rig rig = new Rig()) {
      int port = rig.startEntry().port();
      Map<String, String> expected = new TreeMap<>();
      expected.put("GET /v1/jobs team-north", "LIST");
      expected.put("GET /v1/jobs/j1 team-north", "STATUS");
      expected.put("DELETE /v1/jobs/j1 team-north", "CANCEL");
      expected.put("GET /v1/fleet operator-olive", "FLEET_GET");
      expected.put("GET /v1/fleet/history operator-olive", "FLEET_HISTORY");
      expected.put("POST /v1/data-centres/brest-a/out operator-olive", "DATA_CENTRE_OUT");
      expected.put("POST /v1/exceptions operator-olive", "EXCEPTION_ADD");
      expected.put("GET /v1/status operator-olive", "STATUS");
      List<String> seen = new ArrayList<>();
      for (String call : expected.keySet()) {
        String[] parts = call.split(" ");
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + parts[1]))
                .method(parts[0], HttpRequest.BodyPublishers.noBody())
                .header("Authorization", "Bearer " + parts[2])
                .build();
        String body = rig.http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        seen.add(Responses.MAPPER.readTree(body).path("kind").asText());
      }
      assertEquals(seen, List.copyOf(expected.values()));
    }
  }
}
