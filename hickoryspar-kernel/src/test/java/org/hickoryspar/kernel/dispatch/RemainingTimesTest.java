package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.runtime.RunTimeTable;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.Workflow;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RemainingTimesTest {

  private static final long START_MILLIS = 1_000;
  private static final long STOP_MILLIS = 400;

  private ActiveRun run;
  private Member member;

  @BeforeMethod
  void startRun() {
    Workflow workflow = new DispatcherHarness().submit("w", 1, DispatcherHarness.step(1, 1));
    run =
        new ActiveRun(workflow, 0, 0, workflow.occurrence(0).groups(0).get(0), 1, "", START_MILLIS);
    member = new Member(run, 0, null, Resources.NONE);
    run.members().add(member);
    member.confirmRunning(START_MILLIS);
  }

  private long remainingMillisAfter(long runMillis) {
    RunTimeEstimates estimates =
        new RunTimeEstimates(RunTimeSource.LEARNED.newPredictor(new RunTimeTable()));
    return new RemainingTimes(estimates, STOP_MILLIS, START_MILLIS + runMillis)
        .remainingMillis(run);
  }

  /** Guards against an overdue run that is expected to end soon, again in each round. */
  @Test
  public void shouldExpectMoreWhenRunIsOverdueForLonger() {
    long first = remainingMillisAfter(20_000);
    assertTrue(remainingMillisAfter(80_000) > 2 * first, first + " ms after 20 s");
  }

  /** Guards against a run that has stalled and is expected to end soon, again in each round. */
  @Test
  public void shouldExpectMoreWhenProgressHasStalled() {
    member.update(0, "", START_MILLIS);
    member.update(50, "", START_MILLIS + 2_000);
    assertEquals(remainingMillisAfter(3_000), 1_000);
    assertEquals(remainingMillisAfter(6_000), 2_000);
    assertEquals(remainingMillisAfter(20_000), 16_000);
  }

  /** Guards against a run that is being stopped and counts as one that goes on. */
  @Test
  public void shouldExpectTimeToStopWhenRunIsBeingStopped() {
    member.requestStop();
    assertEquals(remainingMillisAfter(20_000), STOP_MILLIS);
  }
}
