package org.hickoryspar.kernel.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.hickoryspar.protocol.RunTimeTableRecord;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RunTimeTableTest {

  private static final long DECLARED_MILLIS = 4_000;

  private RunTimeTable table;

  @BeforeMethod
  void createTable() {
    table = new RunTimeTable();
  }

  // -- learn

  /** Guards against replicas that run out of memory by the names that callers choose. */
  @Test
  public void shouldBoundKeysAndSnapshotWhenTenThousandKeysLearn() {
    Random random = new Random(3);
    for (int i = 0; i < 10_000; i++) {
      RunProfile profile = profile("queue-" + i % 7, "team-" + i, "image");
      for (int run = 0; run < 3; run++) {
        table.learn(profile, 1 + random.nextInt(1 << 20), 1, 1L << random.nextInt(32));
      }
    }
    assertEquals(table.size(), RunTimeTable.MAX_KEYS);
    int snapshotBytes = table.toRecord().getSerializedSize();
    assertTrue(
        snapshotBytes <= RunTimeTable.MAX_KEYS * RunTimeTable.MAX_KEY_BYTES,
        snapshotBytes + " bytes");
    KeyLevel basis = predict(table, profile("queue-0", "new", "image")).basis();
    assertEquals(basis, KeyLevel.WORK, "the general keys of a queue in use are kept");
  }

  /** Guards against a key that takes more than its share when its run times take all values. */
  @Test
  public void shouldBoundKeyWhenRunTimesTakeAllValues() {
    Random random = new Random(4);
    for (int i = 0; i < 100_000; i++) {
      table.learn(profile("queue", "team", "image"), 1L << 16, 64, 1L << random.nextInt(33));
    }
    RunTimeTableRecord record = table.toRecord();
    assertTrue(record.getKeysList().stream().allMatch(key -> isBounded(key.getSerializedSize())));
  }

  private static boolean isBounded(int keyBytes) {
    return keyBytes <= RunTimeTable.MAX_KEY_BYTES;
  }

  /** Guards against replicas that differ because one of them has started from a snapshot. */
  @Test
  public void shouldEqualOtherReplicaWhenRestoredHalfway() {
    RunTimeTable restored = new RunTimeTable();
    Random random = new Random(5);
    for (int i = 0; i < 4_000; i++) {
      RunProfile profile = profile("queue", "team-" + random.nextInt(2_000), "image");
      int tasks = 1 + random.nextInt(100);
      long runMillis = (long) (4_000 * Math.exp(random.nextGaussian()));
      if (i == 2_000) {
        restored.restore(table.toRecord());
      }
      if (i >= 2_000) {
        restored.learn(profile, DECLARED_MILLIS, tasks, runMillis);
      }
      table.learn(profile, DECLARED_MILLIS, tasks, runMillis);
    }
    assertEquals(restored.toRecord(), table.toRecord());
  }

  /** Guards against an old habit that outlasts a change of the work. */
  @Test
  public void shouldForgetOldHabitWhenWorkTakesThreeTimesAsLong() {
    RunProfile profile = profile("queue", "team", "image");
    Random random = new Random(6);
    learn(profile, random, 200, 4_000);
    assertIsAbout(predict(table, profile).medianMillis(), 4_000);
    learn(profile, random, DecayedHistogram.MEMORY_RUNS, 12_000);
    assertIsAbout(predict(table, profile).medianMillis(), 12_000);
  }

  /** Guards against one wide step that displaces what is known of all other steps. */
  @Test
  public void shouldKeepWhatIsKnownWhenOneWideStepDiffers() {
    RunProfile profile = profile("queue", "team", "image");
    Random random = new Random(7);
    learn(profile, random, 30, 4_000);
    for (int task = 0; task < 60; task++) {
      table.learn(profile, DECLARED_MILLIS, 60, 40_000);
    }
    assertIsAbout(predict(table, profile).medianMillis(), 4_000);
  }

  private void learn(RunProfile profile, Random random, int runs, long medianMillis) {
    for (int i = 0; i < runs; i++) {
      long runMillis = (long) (medianMillis * Math.exp(0.3 * random.nextGaussian()));
      table.learn(profile, DECLARED_MILLIS, 1, runMillis);
    }
  }

  // -- predict

  @DataProvider
  Object[][] declaredMillis() {
    return new Object[][] {{1L}, {900L}, {4_000L}, {3_600_000L}};
  }

  /** Guards against an expectation without any evidence that differs from what is declared. */
  @Test(dataProvider = "declaredMillis")
  public void shouldExpectDeclaredTimeWhenNothingHasRun(long declaredMillis) {
    RunTimeDistribution expected =
        RunTimeSource.LEARNED
            .newPredictor(table)
            .predict(profile("queue", "team", "image"), declaredMillis);
    assertEquals(expected.basis(), KeyLevel.DECLARED);
    assertEquals((double) expected.medianMillis(), (double) declaredMillis, declaredMillis * 0.05);
    assertTrue(expected.quantileMillis(0.9) >= expected.medianMillis());
  }

  /** Guards against a few absurd runs that move a queue to one end of the order of work. */
  @Test
  public void shouldStayNearDeclaredTimeWhenFewRunsAreAbsurd() {
    RunProfile profile = profile("queue", "team", "image");
    for (int i = 0; i < 5; i++) {
      table.learn(profile, DECLARED_MILLIS, 1, 10_000_000);
    }
    assertEquals(
        predict(table, profile).medianMillis(),
        DECLARED_MILLIS * LearnedPredictor.MAX_EARLY_FACTOR);
  }

  @DataProvider
  Object[][] spreads() {
    return new Object[][] {{0.3}, {3.0}};
  }

  /** Guards against an overdue run that is expected to end at once, again and again. */
  @Test(dataProvider = "spreads")
  public void shouldExpectOverdueRunToLastLongerWhenItHasRunLonger(double spread) {
    RunProfile profile = profile("queue", "team", "image");
    Random random = new Random(8);
    for (int i = 0; i < 50; i++) {
      long runMillis = (long) (4_000 * Math.exp(spread * random.nextGaussian()));
      table.learn(profile, DECLARED_MILLIS, 1, runMillis);
    }
    RunTimeDistribution expected = predict(table, profile);
    long last = 0;
    for (long elapsed = 100_000_000; elapsed < 2_000_000_000_000L; elapsed *= 4) {
      long remaining = expected.remainingQuantileMillis(elapsed, 0.5);
      assertTrue(remaining > last, remaining + " after " + elapsed);
      assertTrue(remaining <= elapsed, "at most as long again: " + remaining);
      assertTrue(expected.meanRemainingMillis(elapsed) >= remaining / 2);
      last = remaining;
    }
  }

  /** Guards against runs that go on for long and tell nothing before they end. */
  @Test
  public void shouldExpectMoreWhenRunsGoOnForLonger() {
    RunProfile profile = profile("queue", "team", "image");
    learn(profile, new Random(9), 20, 4_000);
    RunTimePredictor predictor = RunTimeSource.LEARNED.newPredictor(table);
    long before = predictor.predict(profile, DECLARED_MILLIS).medianMillis();
    predictor.setRunning(running(profile, 30, 200));
    long beside = predictor.predict(profile, DECLARED_MILLIS).medianMillis();
    assertEquals((double) beside, (double) before, before * 0.02, "young runs tell nothing");
    predictor.setRunning(running(profile, 30, 16_000));
    long overdue = predictor.predict(profile, DECLARED_MILLIS).medianMillis();
    assertTrue(overdue >= 16_000, "most have lasted for 16 s already: " + overdue);
    RunProfile like = profile("queue", "other team", "image");
    assertTrue(predictor.predict(like, DECLARED_MILLIS).medianMillis() > 2 * before);
    predictor.setRunning(new RunningRuns());
    assertEquals(predictor.predict(profile, DECLARED_MILLIS).medianMillis(), before);
  }

  private static RunningRuns running(RunProfile profile, int count, long elapsedMillis) {
    RunningRuns running = new RunningRuns();
    for (int i = 0; i < count; i++) {
      running.add(profile, DECLARED_MILLIS, 1, elapsedMillis);
    }
    return running;
  }

  private static void assertIsAbout(long millis, long expectedMillis) {
    // Half an octave: the order of work by length is right for what differs by a factor of two.
    assertTrue(
        millis > expectedMillis / 1.42 && millis < expectedMillis * 1.42,
        millis + " instead of " + expectedMillis);
  }

  private static RunTimeDistribution predict(RunTimeTable table, RunProfile profile) {
    return RunTimeSource.LEARNED.newPredictor(table).predict(profile, DECLARED_MILLIS);
  }

  private static RunProfile profile(String queue, String team, String image) {
    return RunProfile.of(
        queue,
        team,
        WorkflowStep.newBuilder()
            .setTasks(1)
            .setImage(image)
            .setDemand(TaskDemand.newBuilder().setAccelerators(1))
            .build());
  }
}
