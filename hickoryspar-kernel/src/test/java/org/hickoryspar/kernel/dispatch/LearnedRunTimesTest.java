package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickoryspar.kernel.runtime.RunProfile;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what the dispatcher learns from runs, and what wrong expectations can do to it. */
public class LearnedRunTimesTest {

  private static final long RUN_MILLIS = 2_000;

  /** Time between the start or the end of a task and its report, at most one renewal. */
  private static final long REPORT_MILLIS = 200;

  /** Time within which work must start that fits twice while most of the capacity is idle. */
  private static final int MAX_WAIT_MILLIS = 3_000;

  private static final Pattern TIMES = Pattern.compile("ranMillis, (\\d+), expectedMillis, (\\d+)");

  private DispatcherHarness harness;

  @BeforeMethod
  void createHarness() {
    harness = DispatcherHarness.withMinions(4, "r1");
  }

  private void run(String id, WorkflowStep.Builder step, RunEnd.Cause cause) {
    harness.submit(id, 1, step);
    harness.advanceTime(RUN_MILLIS);
    harness.endAllTasks(id, cause);
    harness.advanceTime(REPORT_MILLIS);
  }

  // -- evidence

  @DataProvider
  Object[][] runs() {
    return new Object[][] {
      {"single task", DispatcherHarness.step(1, 1), RunEnd.Cause.DONE, true},
      {"gang", DispatcherHarness.gang(2, 8), RunEnd.Cause.DONE, true},
      {"failed", DispatcherHarness.step(1, 1), RunEnd.Cause.TASK_FAILED, false},
      {"stopped", DispatcherHarness.step(1, 1), RunEnd.Cause.STOPPED, false},
      {"lasting", DispatcherHarness.step(1, 1).setLongRunning(true), RunEnd.Cause.DONE, false},
    };
  }

  /** Guards against runs that did not do all of their work and count as short ones. */
  @Test(dataProvider = "runs")
  public void shouldLearnFromRunOnlyWhenItWasWhole(
      String name, WorkflowStep.Builder step, RunEnd.Cause cause, boolean learns) {
    run("w", step, cause);
    assertEquals(harness.runTimes().size() > 0, learns, name);
  }

  /** Guards against a new leader that takes an inherited run for one that has just begun. */
  @Test
  public void shouldCountFromRecordedStartWhenLeaderChanges() {
    harness.submit("w", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(RUN_MILLIS / 2);
    harness.changeLeader();
    harness.advanceTime(RUN_MILLIS / 2);
    harness.endAllTasks("w", RunEnd.Cause.DONE);
    harness.advanceTime(REPORT_MILLIS);
    Matcher times = TIMES.matcher(harness.events().toString());
    assertTrue(times.find(), harness.events().toString());
    long ranMillis = Long.parseLong(times.group(1));
    assertTrue(ranMillis > RUN_MILLIS - REPORT_MILLIS, ranMillis + " ms");
    assertTrue(ranMillis < RUN_MILLIS + 2 * REPORT_MILLIS, ranMillis + " ms");
    assertTrue(harness.runTimes().size() > 0);
  }

  /** Guards against a leader that forgets what its predecessor has learned. */
  @Test
  public void shouldExpectWhatWasLearnedWhenLeaderIsNew() {
    for (int i = 0; i < 20; i++) {
      run("w" + i, DispatcherHarness.step(1, 1), RunEnd.Cause.DONE);
    }
    harness.changeLeader();
    harness.advanceTime(100);
    harness.events().clear();
    run("last", DispatcherHarness.step(1, 1), RunEnd.Cause.DONE);
    Matcher times = TIMES.matcher(harness.events().toString());
    assertTrue(times.find(), harness.events().toString());
    assertEquals(Double.parseDouble(times.group(2)), RUN_MILLIS, RUN_MILLIS / 3.0);
  }

  // -- bounded harm

  @DataProvider
  Object[][] absurdMillis() {
    return new Object[][] {{1L}, {1_000_000_000L}};
  }

  /**
   * Guards against expectations that keep work from idle capacity for as long as they are wrong.
   */
  @Test(dataProvider = "absurdMillis")
  public void shouldStartWorkBesideIdleCapacityWhenExpectationsAreAbsurd(long runMillis) {
    for (int i = 0; i < 64; i++) {
      harness.runTimes().learn(profile(DispatcherHarness.step(1, 5)), 5_000, 1, runMillis);
      harness.runTimes().learn(profile(DispatcherHarness.step(1, 4)), 5_000, 1, runMillis);
    }
    harness.submit("endless", 1, DispatcherHarness.step(1, 5));
    harness.advanceTime(1_000);
    harness.submit("gang", 1, DispatcherHarness.gang(4, 8));
    harness.advanceTime(200);
    harness.submit("task", 1, DispatcherHarness.step(1, 4));

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task").size(), 1, harness.events().toString());
  }

  /** Guards against urgent work that waits for runs which are wrongly expected to end soon. */
  @Test(dataProvider = "absurdMillis")
  public void shouldStartGuaranteedWorkInTimeWhenExpectationsAreAbsurd(long runMillis) {
    for (int i = 0; i < 64; i++) {
      harness.runTimes().learn(profile(DispatcherHarness.step(4, 8)), 5_000, 1, runMillis);
    }
    harness.submitFor("other", "endless", 1, DispatcherHarness.step(4, 8));
    harness.advanceTime(1_000);
    harness.submit("urgent", 0, DispatcherHarness.gang(2, 8));

    harness.advanceTime(DispatcherHarness.SETTINGS.maxReclaimMillis());

    assertEquals(harness.minionsOf("urgent").size(), 2, harness.events().toString());
  }

  private static RunProfile profile(WorkflowStep.Builder step) {
    return RunProfile.of(DispatcherHarness.queue(1).getName(), "team", step.build());
  }

  // -- choice of the source

  @DataProvider
  Object[][] sources() {
    return new Object[][] {{RunTimeSource.DECLARED, 5_000}, {RunTimeSource.MEAN, 5_000}};
  }

  /** Guards against a choice that is not followed, so that learning cannot be switched off. */
  @Test(dataProvider = "sources")
  public void shouldIgnoreWhatWasLearnedWhenAnotherSourceIsChosen(
      RunTimeSource source, long expectedMillis) {
    RunProfile profile = profile(DispatcherHarness.step(1, 1));
    for (int i = 0; i < 64; i++) {
      harness.runTimes().learn(profile, 5_000, 1, 60_000);
    }
    assertEquals(
        source.newPredictor(harness.runTimes()).predict(profile, 5_000).medianMillis(),
        expectedMillis);
  }
}
