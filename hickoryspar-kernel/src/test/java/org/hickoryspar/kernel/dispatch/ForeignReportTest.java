package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.Collections;
import java.util.function.UnaryOperator;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a report changes only what is known of the life that it is from, and that true changes
 * of a minion are in force soon all the same.
 */
public class ForeignReportTest {

  private static final String WORKER = "worker";
  private static final int TASKS = 8;

  /** Time after a report within which a responding minion is usable. */
  private static final long MAX_PROOF_MILLIS = 500;

  /** Longer than the lease of a minion. */
  private static final long LEASE_MILLIS = 2 * DispatcherHarness.SETTINGS.leaseExpiryMillis();

  private DispatcherHarness harness;
  private FakeMinion worker;
  private FakeMinion idle;

  /** One minion runs all tasks of a workflow, another one is idle. */
  @BeforeMethod
  void startTasks() {
    harness = new DispatcherHarness();
    worker = harness.addMinion(WORKER, "r1");
    harness.advanceTime(1_000);
    harness.submit("w", 1, DispatcherHarness.step(TASKS, 1));
    harness.advanceTime(200);
    assertEquals(worker.running().size(), TASKS);
    idle = harness.addMinion("idle", "r1");
    harness.advanceTime(200);
  }

  private MinionReport.Builder reportOfWorker() {
    return worker.report(harness.nowMillis()).toBuilder();
  }

  private MinionLife lifeFromNow(String minionId) {
    return MinionLife.newBuilder().setMinionId(minionId).setBornMillis(harness.nowMillis()).build();
  }

  private void assertTasksRunOnceOn(String minionId) {
    String events = harness.events().toString();
    assertEquals(harness.minionsOf("w"), Collections.nCopies(TASKS, minionId), events);
  }

  // -- reports of another writer

  @DataProvider
  Object[][] foreignReports() {
    return new Object[][] {
      {
        "at its address, of no service",
        change(report -> report.setLife(lifeFromNow("writer")).setService("unnamed"))
      },
      {"at its address", change(report -> report.setLife(lifeFromNow("writer")))},
      {"at its address, of a known minion", change(report -> report.setLife(lifeFromNow("idle")))},
      {
        "of a later life of no service",
        change(report -> report.setLife(lifeFromNow(WORKER)).setService("unnamed"))
      },
      {"of a later life", change(report -> report.setLife(lifeFromNow(WORKER)))},
      {
        "of a later life elsewhere",
        change(report -> report.setLife(lifeFromNow(WORKER)).setAddress("nowhere"))
      },
      {
        "of its life, of no service",
        change(
            report ->
                report
                    .setService("unnamed")
                    .setAddress("nowhere")
                    .setDraining(true)
                    .clearCapacity())
      },
      {
        "of its life, of no service, stale",
        change(report -> report.setService("unnamed").setAddress("nowhere").setAgeMillis(60_000))
      },
    };
  }

  private static UnaryOperator<MinionReport.Builder> change(
      UnaryOperator<MinionReport.Builder> change) {
    return change;
  }

  /**
   * Guards against tasks that are started a second time because a report of another writer bears
   * the address or the identifier of the minion that runs them.
   */
  @Test(dataProvider = "foreignReports")
  void shouldKeepTasksWhenReportIsNotFromTheirMinion(
      String kind, UnaryOperator<MinionReport.Builder> change) {
    harness.report(change.apply(reportOfWorker().setSequence(1_000)).build());
    harness.advanceTime(LEASE_MILLIS);

    assertTasksRunOnceOn(WORKER);
    assertEquals(worker.starts().size(), TASKS);
    assertEquals(harness.countEvents("TASK_LOST"), 0);
    assertEquals(harness.usableMinions(), 2);
  }

  /** Guards against a minion whose own reports no longer count after one of another writer. */
  @Test(dataProvider = "foreignReports")
  void shouldFollowReportsOfMinionAfterOneOfAnotherWriter(
      String kind, UnaryOperator<MinionReport.Builder> change) {
    harness.report(change.apply(reportOfWorker().setSequence(1_000)).build());
    harness.advanceTime(MAX_PROOF_MILLIS);
    worker.startDraining();
    harness.report(worker);

    assertEquals(harness.usableMinions(), 1);
  }

  /** Guards against a new leader that takes the first report of an address for the true one. */
  @Test(dataProvider = "foreignReports")
  void shouldKeepTasksWhenNewLeaderGetsReportOfAnotherWriterFirst(
      String kind, UnaryOperator<MinionReport.Builder> change) {
    MinionReport foreign = change.apply(reportOfWorker().setSequence(1_000)).build();
    harness.startSession();
    harness.report(foreign);
    harness.advanceTime(MAX_PROOF_MILLIS);
    harness.report(worker);
    harness.report(idle);
    harness.advanceTime(MAX_PROOF_MILLIS);
    // A life that the renewal showed is used once it has reported.
    harness.report(worker);
    harness.report(idle);
    harness.advanceTime(LEASE_MILLIS);

    assertTasksRunOnceOn(WORKER);
    assertEquals(worker.starts().size(), TASKS);
    assertEquals(harness.usableMinions(), 2, harness.events().toString());
  }

  // -- true changes

  /** Guards against tasks that wait for the expiry of a lease although their minion restarted. */
  @Test
  void shouldUseNewLifeSoonWhenMinionHasRestarted() {
    worker.restart(harness.nowMillis());
    harness.report(worker);
    harness.advanceTime(MAX_PROOF_MILLIS);

    assertEquals(harness.usableMinions(), 2);
    assertEquals(harness.minionsOf("w").size(), TASKS);
  }

  /** Guards against a restarted minion that is not used because its address has changed. */
  @Test
  void shouldUseNewLifeSoonWhenMinionHasRestartedElsewhere() {
    worker.restart(harness.nowMillis());
    worker.setAddress("elsewhere");
    harness.report(worker);
    harness.advanceTime(MAX_PROOF_MILLIS);

    assertEquals(harness.usableMinions(), 2);
    assertEquals(harness.minionsOf("w").size(), TASKS);
  }

  /** Guards against a restarted minion that is not used because its clock was set back before. */
  @Test
  void shouldUseNewLifeSoonWhenItSeemsToBeTheEarlierOne() {
    worker.restart(worker.life().getBornMillis() - 500);
    harness.report(worker);
    harness.advanceTime(MAX_PROOF_MILLIS);

    assertEquals(harness.usableMinions(), 2);
    assertEquals(harness.minionsOf("w").size(), TASKS);
  }

  /** Guards against tasks that wait for the expiry of a lease although their minion is replaced. */
  @Test
  void shouldUseSuccessorSoonWhenItRespondsAtTheAddress() {
    worker.crash();
    worker.setAddress("gone");
    FakeMinion successor = new FakeMinion("successor", "r1", harness.nowMillis());
    successor.setAddress(WORKER);
    harness.connect(successor);
    harness.report(successor);
    harness.advanceTime(MAX_PROOF_MILLIS);

    assertEquals(harness.usableMinions(), 2);
    assertEquals(harness.minionsOf("w").size(), TASKS);
    assertFalse(harness.minionsOf("w").contains(WORKER));
  }

  /** Guards against an identifier that is not used again after another minion had its address. */
  @Test
  void shouldUseMinionSoonWhenItsIdentifierReturns() {
    shouldUseSuccessorSoonWhenItRespondsAtTheAddress();
    worker.restart(harness.nowMillis());
    worker.setAddress("elsewhere");
    harness.report(worker);
    harness.advanceTime(MAX_PROOF_MILLIS);

    assertEquals(harness.usableMinions(), 3);
  }

  /** Guards against a minion of a new service that was ignored before and is never used. */
  @Test
  void shouldUseMinionSoonWhenLaterCatalogNamesItsService() {
    FakeMinion early = harness.addMinion("early", "r1", "later-service");
    harness.advanceTime(MAX_PROOF_MILLIS);
    assertEquals(harness.usableMinions(), 2);

    harness.addService("later-service");
    harness.report(early);
    harness.advanceTime(MAX_PROOF_MILLIS);
    assertEquals(harness.usableMinions(), 3);
  }

  /** Guards against a log that grows with each report of another writer. */
  @Test
  void shouldLogIgnoredReportsOnceInAWhile() {
    for (int i = 0; i < 10; i++) {
      harness.report(reportOfWorker().setService("unnamed").build());
      harness.advanceTime(100);
    }
    assertEquals(harness.countEvents("REPORT_IGNORED"), 1);
  }
}
