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
