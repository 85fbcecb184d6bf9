package org.hickoryspar.kernel.dispatch;

/** A fake minion with the failures that a model schedule causes on it. */
final class ModelMinion {

  /** Time after its last failure for which a faulty minion counts as unhealthy. */
  private static final int RECOVERY_MILLIS = 8_000;

  private static final int REPORT_INTERVAL_MILLIS = 1_500;
  private static final long NEVER_MILLIS = Long.MAX_VALUE;

  private final FakeMinion fake;
  private long nextReportMillis;
  private long returnMillis = NEVER_MILLIS;
  private boolean lost;
  private long faultyUntilMillis;

  ModelMinion(FakeMinion fake, long nextReportMillis) {
    this.fake = fake;
    this.nextReportMillis = nextReportMillis;
  }

  FakeMinion fake() {
    return fake;
  }

  void crash(long untilMillis) {
    fake.crash();
    lost = true;
    returnMillis = untilMillis;
  }

  void cut(long untilMillis) {
    fake.setReachable(false);
    returnMillis = untilMillis;
  }

  void drain(long untilMillis) {
    fake.startDraining();
    lost = true;
    nextReportMillis = 0;
    returnMillis = untilMillis;
  }

  void failAllTasks(long untilMillis) {
    faultyUntilMillis = untilMillis;
  }

  /** Returns whether the minion is free of crashes, cuts and drains. */
  boolean isInService() {
    return returnMillis == NEVER_MILLIS;
  }

  /** Ends a crash, cut or drain whose time is over; returns whether one has ended. */
  boolean returnIfDue(long nowMillis) {
    if (nowMillis < returnMillis) {
      return false;
    }
    if (lost) {
      fake.restart(nowMillis);
    }
    fake.setReachable(true);
    lost = false;
    nextReportMillis = nowMillis;
    returnMillis = NEVER_MILLIS;
    return true;
  }

  void reportIfDue(DispatcherHarness harness) {
    if (harness.nowMillis() >= nextReportMillis && isUp()) {
      nextReportMillis = harness.nowMillis() + REPORT_INTERVAL_MILLIS;
      harness.report(fake);
    }
  }

  // A drained minion reports until its process ends; a cut one reports through other daemons.
  private boolean isUp() {
    return !lost || fake.isDraining();
  }

  boolean isFaulty(long nowMillis) {
    return nowMillis < faultyUntilMillis;
  }

  boolean isHealthy(long nowMillis) {
    return faultyUntilMillis == 0 || nowMillis >= faultyUntilMillis + RECOVERY_MILLIS;
  }
}
