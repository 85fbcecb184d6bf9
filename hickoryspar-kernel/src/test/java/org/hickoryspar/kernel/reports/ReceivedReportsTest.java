package org.hickoryspar.kernel.reports;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReceivedReportsTest {

  private static final long NOW_MILLIS = 1_000_000;
  private static final long STALE_MILLIS = NOW_MILLIS + ReceivedReports.MAX_AGE_MILLIS + 1;

  private ReceivedReports reports;

  @BeforeMethod
  void createReports() {
    reports = new ReceivedReports();
  }

  private static MinionReport report(long bornMillis, long sequence) {
    return MinionReport.newBuilder()
        .setLife(MinionLife.newBuilder().setMinionId("m1").setBornMillis(bornMillis))
        .setSequence(sequence)
        .setAddress("127.0.0.1:1")
        .build();
  }

  private static MinionReportsReply missing(MinionReport... missing) {
    MinionReportsReply.Builder reply = MinionReportsReply.newBuilder();
    List.of(missing).forEach(report -> reply.addMissing(ReportFingerprint.of(report)));
    return reply.build();
  }

  private void addConfirmed(MinionReport report) {
    MinionReports message = reports.add(report, NOW_MILLIS).orElseThrow();
    assertEquals(reports.handleReply(message, missing(), NOW_MILLIS), Optional.empty());
  }

  private boolean mustSend(MinionReport report) {
    return reports.add(report, NOW_MILLIS).isPresent();
  }

  // -- add

  @Test
  void shouldSendNothingWhenLeaderHasConfirmedState() {
    addConfirmed(report(5, 1));
    assertFalse(mustSend(report(5, 2)));
    assertFalse(mustSend(report(5, 3)));
  }

  @DataProvider
  Object[][] changes() {
    return new Object[][] {
      {"draining", change(report -> report.setDraining(true))},
      {"address", change(report -> report.setAddress("127.0.0.1:2"))},
      {"label", change(report -> report.addLabels("a"))},
      {"life", change(report -> report.setLife(report(6, 1).getLife()))},
      {"cold", change(report -> report.setColdRemainingMillis(800))},
    };
  }

  private static UnaryOperator<MinionReport> change(UnaryOperator<MinionReport.Builder> change) {
    return report -> change.apply(report.toBuilder()).build();
  }

  @Test(dataProvider = "changes")
  void shouldSendReportWhenStateDiffers(String kind, UnaryOperator<MinionReport> change) {
    addConfirmed(report(5, 1));
    assertTrue(mustSend(change.apply(report(5, 2))));
  }

  @DataProvider
  Object[][] outdatedReports() {
    return new Object[][] {{report(5, 6)}, {report(5, 7)}, {report(4, 9)}};
  }

  @Test(dataProvider = "outdatedReports")
  void shouldIgnoreReportWhenNewerOneIsKnown(MinionReport outdated) {
    addConfirmed(report(5, 7));
    assertFalse(mustSend(outdated.toBuilder().setDraining(true).build()));
    assertEquals(reports.all(NOW_MILLIS).get(0).getSequence(), 7);
  }

  /**
   * Guards against a minion whose own reports are dropped because a report of another writer, which
   * the leader does not accept, bears a higher number or a later life.
   */
  @Test(dataProvider = "foreignReports")
  void shouldSendReportWhenOneOfAnotherWriterCameBefore(MinionReport foreign) {
    addConfirmed(report(5, 1));
    MinionReports message = reports.add(foreign, NOW_MILLIS).orElseThrow();
    reports.handleReply(message, missing(foreign), NOW_MILLIS);
    assertTrue(mustSend(report(5, 2).toBuilder().setDraining(true).build()));
  }

  @DataProvider
  Object[][] foreignReports() {
    MinionReport sameLife = report(5, 1_000).toBuilder().setService("unnamed").build();
    MinionReport laterLife = report(9, 1_000);
    return new Object[][] {
      {sameLife}, {laterLife}, {laterLife.toBuilder().setService("unnamed").build()}
    };
  }

  /** Guards against a minion that is never used because a later life was confirmed in error. */
  @Test
  void shouldSendFurtherReportsWhenLifeGoesOnBesideALaterOne() {
    addConfirmed(report(9, 1));
    assertFalse(mustSend(report(5, 7)));
    assertTrue(mustSend(report(5, 8)));
  }

  /** Guards against memory that grows with each report of another writer. */
  @Test
  void shouldKeepFewReportsWhenManyLivesAreReported() {
    addConfirmed(report(5, 1));
    for (int i = 0; i < 1_000; i++) {
      reports.add(report(10 + i, 1), NOW_MILLIS + i);
    }
    assertTrue(reports.all(NOW_MILLIS).size() < 10);
    assertEquals(reports.all(NOW_MILLIS).get(0).getLife(), report(5, 1).getLife());
  }

  /** Guards against memory that grows with each identifier that another writer makes up. */
  @Test
  void shouldForgetReportsWhenTheyAreLongSilent() {
    addConfirmed(report(5, 1));
    MinionReport other =
        report(6, 1).toBuilder()
            .setLife(MinionLife.newBuilder().setMinionId("m2").setBornMillis(6))
            .build();
    reports.add(other, NOW_MILLIS + 200_000);
    assertEquals(reports.all(NOW_MILLIS).size(), 1);
  }

  // -- handleReply

  /** Guards against a minion that gets no work because a restored report counted as its state. */
  @Test
  void shouldSendNextReportWhenLeaderDidNotAcceptRestoredOne() {
    reports.restore(MinionReports.newBuilder().addReports(report(5, 0)).build(), NOW_MILLIS);
    MinionReports message = reports.handleLeaderChange(NOW_MILLIS).orElseThrow();
    reports.handleReply(message, missing(message.getReports(0)), NOW_MILLIS);
    assertTrue(mustSend(report(5, 1)));
  }

  /** Guards against the endless resending of a report that the leader does not accept. */
  @Test
  void shouldNotSendReportAgainWhenLeaderDidNotAcceptIt() {
    MinionReports message = reports.add(report(5, 1), NOW_MILLIS).orElseThrow();
    assertEquals(reports.handleReply(message, missing(report(5, 1)), NOW_MILLIS), Optional.empty());
    assertEquals(reports.confirmationRequest(NOW_MILLIS), Optional.empty());
  }

  @Test
  void shouldSendReportWhenLeaderNoLongerHoldsIt() {
    addConfirmed(report(5, 1));
    MinionReports request = reports.confirmationRequest(NOW_MILLIS).orElseThrow();
    Optional<MinionReports> message =
        reports.handleReply(request, missing(report(5, 1)), NOW_MILLIS);
    assertEquals(message.orElseThrow().getReports(0).getLife(), report(5, 1).getLife());
    assertTrue(mustSend(report(5, 2)));
  }

  @Test
  void shouldNotSendReportThatIsMissingWhenItIsStale() {
    addConfirmed(report(5, 1));
    MinionReports request = reports.confirmationRequest(NOW_MILLIS).orElseThrow();
    assertEquals(
        reports.handleReply(request, missing(report(5, 1)), STALE_MILLIS), Optional.empty());
  }

  @Test
  void shouldIgnoreReplyWhenStateHasChangedSince() {
    MinionReports message = reports.add(report(5, 1), NOW_MILLIS).orElseThrow();
    reports.add(report(5, 2).toBuilder().setDraining(true).build(), NOW_MILLIS);
    reports.handleReply(message, missing(), NOW_MILLIS);
    assertTrue(mustSend(report(5, 3).toBuilder().setDraining(true).build()));
  }

  // -- confirmationRequest

  @Test
  void shouldAskForConfirmedReportsOnlyWhileTheyAreRecent() {
    addConfirmed(report(5, 1));
    assertEquals(
        reports.confirmationRequest(NOW_MILLIS).orElseThrow().getConfirmedList(),
        List.of(ReportFingerprint.of(report(5, 1))));
    assertEquals(reports.confirmationRequest(STALE_MILLIS), Optional.empty());
  }

  // -- handleLeaderChange

  @Test
  void shouldSendAllReportsWhenLeaderChanges() {
    addConfirmed(report(5, 1));
    assertEquals(reports.handleLeaderChange(NOW_MILLIS).orElseThrow().getReportsCount(), 1);
    assertTrue(mustSend(report(5, 2)));
  }

  // -- remove

  @Test
  void shouldNameLifeThatLeaves() {
    addConfirmed(report(5, 1));
    MinionReport leaving = reports.remove("m1").getReports(0);
    assertEquals(leaving.getLife(), report(5, 1).getLife());
    assertTrue(leaving.getLeaving());
    assertEquals(reports.remove("m1").getReports(0).getLife().getBornMillis(), 0);
  }

  /** Guards against a leave that is not taken for that of the minion after a foreign report. */
  @Test(dataProvider = "foreignReports")
  void shouldNameConfirmedLifeThatLeaves(MinionReport foreign) {
    addConfirmed(report(5, 1));
    reports.add(foreign, NOW_MILLIS);
    assertEquals(reports.remove("m1").getReports(0).getLife(), report(5, 1).getLife());
  }

  // -- snapshotIfChanged

  @Test
  void shouldReturnSnapshotOnlyWhenStateHasChanged() {
    reports.add(report(5, 1), NOW_MILLIS);
    assertEquals(
        reports.snapshotIfChanged().orElseThrow().getReports(0).getLife(), report(5, 1).getLife());
    reports.add(report(5, 2), NOW_MILLIS);
    assertEquals(reports.snapshotIfChanged(), Optional.empty());
  }
}
