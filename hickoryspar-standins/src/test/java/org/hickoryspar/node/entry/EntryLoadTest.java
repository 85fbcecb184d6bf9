package org.hickoryspar.node.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.standins.minion.Faults;
import org.hickoryspar.standins.minion.MinionServer;
import org.testng.annotations.Test;

public class EntryLoadTest {

  private static final long LARGE_BYTES = 64L << 20;

  /** Guards against lost or doubled requests, and a wrong outcome, in a burst. */
  @Test
  public void shouldAnswerEachRequestOnceWhenABurstExceedsTheCapacity() throws Exception {
    try (Rig rig = new Rig(1, 100)) {
      EntryDaemon entry = rig.startEntry();
      MinionServer minion =
          rig.startMinion(new Faults(false, false, 50, false, false, false, false, false, 0, 0));
      Map<String, CompletableFuture<HttpResponse<byte[]>>> calls = new TreeMap<>();
      for (int i = 0; i < 400; i++) { // 50 times the 8 slots
        String key = Rig.newKey();
        String team = i % 2 == 0 ? "north" : "south";
        calls.put(key, rig.call(entry, team, i % 4 < 2).key(key).deadline(10_000).send());
      }
      Map<String, Integer> counts = new TreeMap<>();
      for (Map.Entry<String, CompletableFuture<HttpResponse<byte[]>>> call : calls.entrySet()) {
        String outcome = Rig.outcome(call.getValue().join());
        counts.merge(outcome, 1, Integer::sum);
        int runs = minion.runCounts().getOrDefault(call.getKey(), 0);
        assertTrue(outcome.equals("answered") ? runs == 1 : runs == 0, outcome + " " + runs);
      }
      assertEquals(counts.keySet(), Set.of("answered", "not-run"), counts.toString());
    }
  }

  /** Guards against an answer held in memory for a caller that reads slowly. */
  @Test
  public void shouldStreamALargeAnswerWithBoundedMemoryWhenTheCallerIsSlow() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      rig.startMinion(
          new Faults(false, false, 0, false, false, false, false, false, 0, LARGE_BYTES));
      List<HttpResponse<InputStream>> answers = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        HttpRequest request = rig.call(entry, "north", true).request().build();
        answers.add(rig.http.send(request, HttpResponse.BodyHandlers.ofInputStream()));
      }
      // None of the 8 answers (512 MB) has been read: what is in use now is what they hold.
      Runtime runtime = Runtime.getRuntime();
      System.gc();
      long used = runtime.totalMemory() - runtime.freeMemory();
      assertTrue(used < 4 * LARGE_BYTES, "heap in use: " + used);
      for (HttpResponse<InputStream> answer : answers) {
        long read = 0;
        byte[] buffer = new byte[1 << 16];
        try (InputStream in = answer.body()) {
          for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            read += n;
          }
        }
        assertEquals(read, LARGE_BYTES);
      }
    }
  }

  /** Guards against a claim that stays open, or runs again, when its caller disconnects. */
  @Test
  public void shouldRecordTheOutcomeWhenTheCallerDisconnects() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      MinionServer minion =
          rig.startMinion(
              new Faults(false, false, 0, false, false, false, false, false, 0, LARGE_BYTES));
      String key = Rig.newKey();
      HttpRequest request = rig.call(entry, "north", false).key(key).request().build();
      rig.http.send(request, HttpResponse.BodyHandlers.ofInputStream()).body().close();
      org.awaitility.Awaitility.await()
          .atMost(Rig.GENEROUS)
          .until(() -> rig.control.outcome("north", key) != null);
      HttpResponse<byte[]> again = rig.call(entry, "north", false).key(key).send().join();
      assertEquals(again.headers().firstValue("Hickoryspar-Body-Dropped").orElse(""), "true");
      assertEquals(Rig.outcome(again), "answered");
      assertEquals(minion.runCounts(), Map.of(key, 1));
    }
  }

  /** Guards against a planned stop that interrupts a request. */
  @Test
  public void shouldInterruptNoRequestWhenDrainedUnderLoad() throws Exception {
    try (Rig rig = new Rig()) {
      EntryDaemon entry = rig.startEntry();
      rig.startMinion(new Faults(false, false, 20, false, false, false, false, false, 0, 0));
      Set<String> outcomes = new HashSet<>();
      CompletableFuture<Void> drained = null;
      int sent = 0;
      while (drained == null || !drained.isDone()) {
        List<CompletableFuture<HttpResponse<byte[]>>> round = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          round.add(rig.call(entry, "north", i % 2 == 0).send());
        }
        if (drained == null) {
          drained = entry.drain();
          HttpRequest ready =
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/readyz"))
                  .build();
          assertEquals(
              rig.http.send(ready, HttpResponse.BodyHandlers.ofString()).statusCode(), 503);
        }
        sent += round.size();
        boolean refused = false;
        for (CompletableFuture<HttpResponse<byte[]>> call : round) {
          try {
            outcomes.add(Rig.outcome(call.get(60, TimeUnit.SECONDS)));
          } catch (java.util.concurrent.ExecutionException e) {
            // A connection refused after the drain's linger was never accepted.
            assertTrue(e.getCause() instanceof java.net.ConnectException, e.toString());
            refused = true;
          }
        }
        if (refused) {
          drained.get(60, TimeUnit.SECONDS);
        }
      }
      assertTrue(sent > 8, "requests: " + sent);
      assertEquals(outcomes, Set.of("answered"));
    }
  }
}
