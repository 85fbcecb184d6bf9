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

  /** Guards against requests that are lost, run twice or given a wrong outcome in a burst. */
  @Test
  public void shouldRespondOnceToEachRequestWhenABurstExceedsTheCapacity() throws Exception {
    try (EntryHarness harness = new EntryHarness(1, 100)) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion =
          harness.startMinion(
              new Faults(false, false, 50, false, false, false, false, false, 0, 0));
      Map<String, CompletableFuture<HttpResponse<byte[]>>> calls = new TreeMap<>();
      for (int i = 0; i < 400; i++) { // 50 times the 8 slots
        String key = EntryHarness.newKey();
        String team = i % 2 == 0 ? "north" : "south";
        calls.put(key, harness.call(entry, team, i % 4 < 2).key(key).deadline(10_000).send());
      }
      Map<String, Integer> countsByOutcome = new TreeMap<>();
      for (Map.Entry<String, CompletableFuture<HttpResponse<byte[]>>> call : calls.entrySet()) {
        String outcome = EntryHarness.outcome(call.getValue().join());
        countsByOutcome.merge(outcome, 1, Integer::sum);
        int runs = minion.runCounts().getOrDefault(call.getKey(), 0);
        assertTrue(outcome.equals("answered") ? runs == 1 : runs == 0, outcome + " " + runs);
      }
      assertEquals(
          countsByOutcome.keySet(), Set.of("answered", "not-run"), countsByOutcome.toString());
    }
  }

  /** Guards against a response that is buffered in memory while its caller reads slowly. */
  @Test
  public void shouldStreamALargeResponseInBoundedMemoryWhenTheCallerIsSlow() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      harness.startMinion(
          new Faults(false, false, 0, false, false, false, false, false, 0, LARGE_BYTES));
      List<HttpResponse<InputStream>> responses = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        HttpRequest request = harness.call(entry, "north", true).request().build();
        responses.add(harness.http.send(request, HttpResponse.BodyHandlers.ofInputStream()));
      }
      // None of the 8 responses (512 MB) has been read, so the heap in use contains their buffers.
      Runtime runtime = Runtime.getRuntime();
      System.gc();
      long usedBytes = runtime.totalMemory() - runtime.freeMemory();
      assertTrue(usedBytes < 4 * LARGE_BYTES, "heap in use: " + usedBytes);
      for (HttpResponse<InputStream> response : responses) {
        long readBytes = 0;
        byte[] buffer = new byte[1 << 16];
        try (InputStream in = response.body()) {
          for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            readBytes += n;
          }
        }
        assertEquals(readBytes, LARGE_BYTES);
      }
    }
  }

  /** Guards against a claim without an outcome, or a second run, after its caller disconnects. */
  @Test
  public void shouldRecordTheOutcomeWhenTheCallerDisconnects() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion =
          harness.startMinion(
              new Faults(false, false, 0, false, false, false, false, false, 0, LARGE_BYTES));
      String key = EntryHarness.newKey();
      HttpRequest request = harness.call(entry, "north", false).key(key).request().build();
      harness.http.send(request, HttpResponse.BodyHandlers.ofInputStream()).body().close();
      org.awaitility.Awaitility.await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> harness.control.outcome("north", key) != null);
      HttpResponse<byte[]> secondResponse =
          harness.call(entry, "north", false).key(key).send().join();
      assertEquals(
          secondResponse.headers().firstValue("Hickoryspar-Body-Dropped").orElse(""), "true");
      assertEquals(EntryHarness.outcome(secondResponse), "answered");
      assertEquals(minion.runCounts(), Map.of(key, 1));
    }
  }

  /** Guards against a drain that interrupts requests. */
  @Test
  public void shouldInterruptNoRequestWhenDrainedUnderLoad() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      harness.startMinion(new Faults(false, false, 20, false, false, false, false, false, 0, 0));
      Set<String> outcomes = new HashSet<>();
      CompletableFuture<Void> drained = null;
      int sentCount = 0;
      while (drained == null || !drained.isDone()) {
        List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          calls.add(harness.call(entry, "north", i % 2 == 0).send());
        }
        if (drained == null) {
          drained = entry.drain();
          HttpRequest readinessRequest =
              HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/readyz"))
                  .build();
          assertEquals(
              harness
                  .http
                  .send(readinessRequest, HttpResponse.BodyHandlers.ofString())
                  .statusCode(),
              503);
        }
        sentCount += calls.size();
        boolean connectionRefused = false;
        for (CompletableFuture<HttpResponse<byte[]>> call : calls) {
          try {
            outcomes.add(EntryHarness.outcome(call.get(60, TimeUnit.SECONDS)));
          } catch (java.util.concurrent.ExecutionException e) {
            // A connection that the drain refuses after its refusal delay was never accepted.
            assertTrue(e.getCause() instanceof java.net.ConnectException, e.toString());
            connectionRefused = true;
          }
        }
        if (connectionRefused) {
          drained.get(60, TimeUnit.SECONDS);
        }
      }
      assertTrue(sentCount > 8, "requests: " + sentCount);
      assertEquals(outcomes, Set.of("answered"));
    }
  }
}
