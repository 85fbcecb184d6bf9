package org.hickoryspar.kernel.minion;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the verdict on the speed of a minion and the rule for moves, without a dispatcher. */
public class MinionSpeedTest {

  private static final long EXPECTED_MILLIS = 4_000;
  private static final long RUN_INTERVAL_MILLIS = 1_000;
  private static final List<Double> NOTHING_RUNNING = List.of();

  private long nowMillis = 100_000;

  private static double logOf(double factor) {
    return RunTimeRatio.logOf((long) (factor * EXPECTED_MILLIS), EXPECTED_MILLIS);
  }

  private static SpeedBaseline baseline(double median, double spread, int seed) {
    SpeedBaseline baseline = new SpeedBaseline();
    Random random = new Random(seed);
    for (int i = 0; i < 100; i++) {
      baseline.add(median + spread * random.nextGaussian());
    }
    return baseline;
  }

  private boolean record(MinionSpeed minion, double logRatio, SpeedBaseline baseline) {
    nowMillis += RUN_INTERVAL_MILLIS;
    minion.recordRun(logRatio, nowMillis);
    return minion.assess(baseline, NOTHING_RUNNING, nowMillis);
  }

  private MinionSpeed slowMinion() {
    MinionSpeed minion = new MinionSpeed();
    for (int i = 0; i < 4; i++) {
      record(minion, logOf(4), baseline(0, 0.1, 1));
    }
    assertTrue(minion.isSlow());
    return minion;
  }

  @DataProvider
  Object[][] slowdowns() {
    return new Object[][] {{2.5, 0.1, 4}, {4.0, 0.3, 4}, {4.0, 0.6, 8}, {7.0, 1.0, 8}};
  }

  /** Guards against a slow minion that is never noticed. */
  @Test(dataProvider = "slowdowns")
  void shouldBeSlowWhenRunsTakeMuchLonger(double factor, double spread, int runs) {
    SpeedBaseline baseline = baseline(0, spread, 2);
    MinionSpeed minion = new MinionSpeed();
    for (int i = 0; i < runs; i++) {
      record(minion, logOf(factor), baseline);
    }

    assertEquals(minion.pace(), MinionPace.SLOW);
    assertEquals(minion.slowdown(), factor, 0.25 * factor);
  }

  /** Guards against a verdict that rests on a single odd task. */
  @Test
  void shouldStayNormalAfterOneLongRun() {
    MinionSpeed speed = new MinionSpeed();
    assertFalse(record(speed, logOf(8), baseline(0, 0.1, 3)));
    assertFalse(speed.isSlow());
  }

  /** Guards against minions that all count as slow because all estimates are too short. */
  @Test
  void shouldStayNormalWhenAllRunsTakeLonger() {
    MinionSpeed speed = new MinionSpeed();
    SpeedBaseline baseline = baseline(logOf(4), 0.1, 4);
    for (int i = 0; i < 10; i++) {
      record(speed, logOf(4), baseline);
    }
    assertFalse(speed.isSlow());
  }

  /** Guards against a verdict before anything is known of the other minions. */
  @Test
  void shouldStayNormalWithoutBaseline() {
    MinionSpeed speed = new MinionSpeed();
    for (int i = 0; i < 10; i++) {
      record(speed, logOf(8), new SpeedBaseline());
    }
    assertFalse(speed.isSlow());
  }

  /** Guards against slow minions that shift the expectation of the others. */
  @Test
  void shouldKeepBaselineWhenSomeMinionsAreSlow() {
    SpeedBaseline baseline = new SpeedBaseline();
    for (int i = 0; i < 100; i++) {
      baseline.add(i % 5 == 0 ? logOf(6) : logOf(1));
    }
    assertEquals(baseline.median(), 0, 0.01);
    assertEquals(baseline.typicalMillis(EXPECTED_MILLIS), EXPECTED_MILLIS, 50);
  }

  /** Guards against a minion that turns slow beneath tasks which take long to complete. */
  @Test
  void shouldBeSlowByProgressBeforeARunEnds() {
    MinionSpeed speed = new MinionSpeed();
    List<Double> running = Collections.nCopies(4, logOf(5));

    assertTrue(speed.assess(baseline(0, 0.2, 5), running, nowMillis));
    assertTrue(speed.isSlow());
    assertEquals(speed.slowdown(), 5, 0.5);
  }

  /** Guards against a minion that is avoided although it works soundly again. */
  @Test
  void shouldJudgeNormalAfterSoundRuns() {
    MinionSpeed minion = slowMinion();
    int runs = 0;
    while (minion.isSlow() && runs < 10) {
      record(minion, logOf(1), baseline(0, 0.1, 6));
      runs++;
    }
    assertTrue(runs >= 2 && runs <= 6, runs + " runs");
  }

  /** Guards against a minion that gets no work because it is slow, and is slow for want of work. */
  @Test
  void shouldJudgeNormalWithoutEvidenceAfterBoundedTime() {
    MinionSpeed minion = slowMinion();
    SpeedBaseline baseline = baseline(0, 0.1, 7);

    assertFalse(
        minion.assess(baseline, NOTHING_RUNNING, nowMillis + MinionSpeed.MAX_EVIDENCE_AGE_MILLIS));
    assertTrue(
        minion.assess(
            baseline, NOTHING_RUNNING, nowMillis + MinionSpeed.MAX_EVIDENCE_AGE_MILLIS + 1));

    assertFalse(minion.isSlow());
    assertEquals(minion.slowdown(), 1.0);
  }

  /** Guards against a verdict that changes with each run of a minion at the limit. */
  @Test
  void shouldNotFlapAtTheLimit() {
    MinionSpeed speed = new MinionSpeed();
    SpeedBaseline baseline = baseline(0, 0.1, 8);
    int changes = 0;
    for (int i = 0; i < 100; i++) {
      changes += record(speed, logOf(i % 2 == 0 ? 1.9 : 2.2), baseline) ? 1 : 0;
    }
    assertTrue(changes <= 1, changes + " changes");
  }

  /** Guards against work that is moved for a small gain, or a long task that is moved in vain. */
  @Test
  void shouldMoveOnlyForAClearGain() {
    SpeedBaseline baseline = baseline(0, 0.1, 9);
    assertTrue(MoveRule.isWorthwhile(20_000, 4_000));
    assertFalse(MoveRule.isWorthwhile(6_500, 4_000));
    assertFalse(MoveRule.isWorthwhile(4_000, 4_000));
    assertEquals(MoveRule.wholeRunMillis(baseline, 4_000, 10_000, 5), 4_000, 200);
    assertEquals(MoveRule.wholeRunMillis(baseline, 4_000, 100_000, 5), 20_000);
  }
}
