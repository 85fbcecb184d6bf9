package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertTrue;

import org.hickoryspar.protocol.RunEnd;
import org.testng.annotations.Test;

/** Tests what the log says of groups that wait. */
public class WaitReportTest {

  /** Guards against a wait beside idle capacity whose log line does not name what holds it. */
  @Test
  void shouldNameReservationThatHoldsIdleCapacity() {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    harness.submit("running", 1, DispatcherHarness.step(1, 5).setEstimatedMillis(5_000));
    harness.advanceTime(100);
    harness.submit("gang", 1, DispatcherHarness.gang(4, 8).setEstimatedMillis(4_000));
    harness.advanceTime(100);
    harness.submit("task", 1, DispatcherHarness.step(1, 4).setEstimatedMillis(60_000));

    harness.advanceTime(2_500);

    assertTrue(
        harness.countEvents("GROUP_WAITS task", "reserved for [gang.0.0.0#1 for") > 0,
        harness.events().toString());
  }

  /** Guards against a group that is skipped without a line in the log. */
  @Test
  void shouldReportGroupThatIsSkipped() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submit("running", 1, DispatcherHarness.step(1, 8).setEstimatedMillis(60_000));
    harness.advanceTime(100);
    harness.endTask("running", 0, RunEnd.Cause.TASK_FAILED);
    harness.submit("skipped", 2, DispatcherHarness.step(1, 8).setEstimatedMillis(60_000));
    harness.submit("other", 1, DispatcherHarness.step(7, 8).setEstimatedMillis(60_000));
    for (int i = 0; i < 7; i++) {
      harness.submit("first-" + i, 1, DispatcherHarness.step(1, 8).setEstimatedMillis(60_000));
    }

    harness.advanceTime(1_500);

    assertTrue(
        harness.countEvents("GROUP_WAITS skipped", "no room was found for") > 0,
        harness.events().toString());
  }
}
