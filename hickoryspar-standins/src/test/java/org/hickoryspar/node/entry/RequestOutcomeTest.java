package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.hickoryspar.standins.minion.Faults;
import org.hickoryspar.standins.minion.MinionServer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestOutcomeTest {

  private static final Faults NONE = Faults.NONE;

  /** Columns: name, fault, idempotent, deadline, status, outcome, minimum and maximum of runs. */
  @DataProvider
  Object[][] faults() {
    Faults breaks = new Faults(false, true, 0, false, false, false, false, false, 0, 1_000);
    Faults dies = new Faults(true, false, 0, false, false, false, false, false, 0, 1_000);
    Faults late = new Faults(false, false, 2_500, false, false, false, false, false, 0, 0);
    Faults twice = new Faults(false, false, 0, true, false, false, false, false, 0, 0);
    Faults wrongId = new Faults(false, false, 0, false, true, false, false, false, 0, 0);
    Faults never = new Faults(false, false, 0, false, false, true, false, false, 0, 0);
    Faults refuses = new Faults(false, false, 0, false, false, false, true, false, 0, 0);
    Faults fails = new Faults(false, false, 0, false, false, false, false, false, 500, 0);
    Faults large = new Faults(false, false, 0, false, false, false, false, false, 0, 3_000_000);
    return new Object[][] {
      {"none", NONE, false, 20_000, 200, "answered", 1, 1},
      {"none", NONE, true, 20_000, 200, "answered", 1, 1},
      {"breaks half-way", breaks, false, 20_000, 504, "unknown", 1, 1},
      {"breaks half-way", breaks, true, 20_000, 504, "unknown", 2, 3},
      {"dies half-way", dies, false, 20_000, 504, "unknown", 1, 1},
      {"late, in time", late, false, 20_000, 200, "answered", 1, 1},
      {"late, too late", late, false, 1_000, 504, "unknown", 1, 1},
      {"answers twice", twice, false, 20_000, 200, "answered", 1, 1},
      {"wrong id", wrongId, false, 20_000, 504, "unknown", 1, 1},
      {"wrong id", wrongId, true, 20_000, 504, "unknown", 2, 3},
      {"never answers", never, false, 1_000, 504, "unknown", 1, 1},
      {"refuses all", refuses, false, 20_000, 503, "not-run", 0, 0},
      {"refuses all", refuses, true, 20_000, 503, "not-run", 0, 0},
      {"fails", fails, false, 20_000, 500, "minion-failed", 1, 1},
      {"large", large, false, 20_000, 200, "answered", 1, 1},
    };
  }

  // -- outcomes

  /** Guards against an outcome that differs from what happened at the minion. */
  @Test(dataProvider = "faults")
  public void shouldReportTheTrueOutcomeWhenTheMinionIsFaulty(
      String name,
      Faults fault,
      boolean idempotent,
      long deadlineMillis,
      int status,
      String outcome,
      int minRuns,
      int maxRuns)
      throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(fault);
      String key = EntryHarness.newKey();
      HttpResponse<byte[]> response =
          harness.call(entry, "north", idempotent).key(key).deadline(deadlineMillis).send().join();
      assertEquals(
          EntryHarness.outcome(response),
          outcome,
          new String(response.body(), StandardCharsets.UTF_8));
      assertEquals(response.statusCode(), status);
      int runs = minion.runCounts().getOrDefault(key, 0);
      assertTrue(runs >= minRuns && runs <= maxRuns, "runs: " + runs);
      if (fault.answerBytes() > 0 && status == 200) {
        assertEquals(response.body().length, fault.answerBytes());
      } else if (status == 200) {
        assertEquals(response.body(), "wear".getBytes(StandardCharsets.UTF_8));
      }
      if (!idempotent) {
        await()
            .atMost(EntryHarness.TIMEOUT)
            .until(() -> harness.control.outcome("north", key) != null);
        assertEquals(Outcomes.name(harness.control.outcome("north", key).getKind()), outcome);
      }
    }
  }

  /** Guards against a late response on a reused connection that is sent to another caller. */
  @Test
  public void shouldReturnEachCallerItsOwnResponseWhenMinionsRespondTwice() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      harness.startMinion(new Faults(false, false, 0, true, false, false, false, false, 0, 0));
      for (int i = 0; i < 50; i++) {
        byte[] body = ("request " + i).getBytes(StandardCharsets.UTF_8);
        HttpResponse<byte[]> response = harness.call(entry, "north", true).body(body).send().join();
        if (response.statusCode() == 200) {
          assertEquals(response.body(), body);
        }
      }
    }
  }

  /** Guards against a request that fails although another minion works. */
  @Test
  public void shouldSucceedWhenOneOfTwoMinionsRefuses() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      harness.startMinion(new Faults(false, false, 0, false, false, false, true, false, 0, 0));
      MinionServer healthyMinion = harness.startMinion("good", "brest-a", NONE);
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(
              () -> {
                harness.call(entry, "north", true).send().join();
                return !healthyMinion.runCounts().isEmpty();
              });
      for (boolean idempotent : new boolean[] {true, false}) {
        HttpResponse<byte[]> response = harness.call(entry, "north", idempotent).send().join();
        assertEquals(EntryHarness.outcome(response), "answered");
      }
    }
  }

  /** Guards against the reuse of unresponsive connections while new connections work. */
  @Test
  public void shouldRecoverWhenExistingConnectionsAreUnresponsive() throws Exception {
    try (EntryHarness harness = new EntryHarness()) {
      EntryDaemon entry = harness.startEntry();
      MinionServer minion = harness.startMinion(NONE);
      assertEquals(harness.call(entry, "north", true).send().join().statusCode(), 200);
      minion.setFaults(new Faults(false, false, 0, false, false, false, false, true, 0, 0));
      HttpResponse<byte[]> first = harness.call(entry, "north", true).deadline(4_000).send().join();
      assertEquals(EntryHarness.outcome(first), "answered");
      HttpResponse<byte[]> second = harness.call(entry, "north", false).send().join();
      assertEquals(EntryHarness.outcome(second), "answered");
    }
  }
}
