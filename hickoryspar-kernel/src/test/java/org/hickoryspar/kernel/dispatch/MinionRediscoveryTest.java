package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.hickoryspar.kernel.reports.ReceivedReports;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays random failures of control daemons, sessions, links and minions, then none. The invariant:
 * a minion that sends heartbeats and responds to renewals is usable soon after, whatever came
 * before.
 */
public class MinionRediscoveryTest {

  private static final int DAEMONS = 3;
  private static final int MINIONS = 8;
  private static final int SEEDS = 200;
  private static final int STEPS = 400;
  private static final int STEP_MILLIS = 100;

  /** Number of steps in which another writer sends one report on average. */
  private static final int FOREIGN_REPORT_STEPS = 4;

  private static final int HEARTBEAT_INTERVAL_MILLIS = 1_500;
  private static final int CONFIRM_INTERVAL_MILLIS = 2_000;

  /** Time after the last failure within which each minion must be usable. */
  private static final int MAX_REDISCOVERY_MILLIS = 4_000;

  @DataProvider
  Object[][] seeds() {
    Integer replayed = Integer.getInteger("hickoryspar.seed");
    IntStream seeds = replayed == null ? IntStream.range(0, SEEDS) : IntStream.of(replayed);
    return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /** Guards against a minion that is never used again although it reports and responds. */
  @Test(dataProvider = "seeds")
  void shouldUseMinionSoonWhenItReportsAndResponds(int seed) {
    Schedule schedule = new Schedule(seed);
    for (int i = 0; i < STEPS; i++) {
      schedule.failAtRandom();
      schedule.advance(STEP_MILLIS);
    }
    schedule.endFailures();
    schedule.advance(MAX_REDISCOVERY_MILLIS);
    assertEquals(schedule.harness.usableMinions(), MINIONS, schedule.history.toString());
  }

  /**
   * Guards against a minion that is not used because of a report of a writer that is no minion,
   * while that writer goes on.
   */
  @Test(dataProvider = "seeds")
  void shouldUseMinionSoonWhenAnotherWriterSendsReports(int seed) {
    Schedule schedule = new Schedule(seed);
    schedule.foreignReports = new ForeignReports(new Random(seed));
    for (int i = 0; i < STEPS; i++) {
      schedule.failAtRandom();
      schedule.advance(STEP_MILLIS);
      schedule.sendForeignReport();
    }
    schedule.endFailures();
    for (int i = 0; i < MAX_REDISCOVERY_MILLIS / STEP_MILLIS; i++) {
      schedule.advance(STEP_MILLIS);
      schedule.sendForeignReport();
    }
    assertEquals(schedule.harness.usableMinions(), MINIONS, schedule.history.toString());
  }

  /** The minions, the daemons that they report to, and the leader. */
  private static final class Schedule {

    private final Random random;
    private final DispatcherHarness harness = new DispatcherHarness();
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Beat> beats = new ArrayList<>();
    private final List<String> history = new ArrayList<>();
    private @Nullable ForeignReports foreignReports;

    Schedule(int seed) {
      random = new Random(seed);
      for (int i = 0; i < DAEMONS; i++) {
        daemons.add(new Daemon(random.nextInt(CONFIRM_INTERVAL_MILLIS)));
      }
      for (int i = 0; i < MINIONS; i++) {
        FakeMinion minion = new FakeMinion("m" + i, "r1", harness.nowMillis());
        harness.connect(minion);
        beats.add(
            new Beat(minion, random.nextInt(DAEMONS), random.nextInt(HEARTBEAT_INTERVAL_MILLIS)));
      }
    }

    void failAtRandom() {
      Daemon daemon = daemons.get(random.nextInt(DAEMONS));
      Beat beat = beats.get(random.nextInt(MINIONS));
      long untilMillis = harness.nowMillis() + random.nextInt(20_000);
      switch (random.nextInt(120)) {
        case 0 -> startLeader();
        case 1 -> {
          record("session");
          harness.startSession();
        }
        case 2 -> {
          record("restart of a daemon");
          daemon.restart();
        }
        case 3 -> {
          record("restart of all daemons");
          daemons.forEach(Daemon::restart);
          startLeader();
        }
        case 4 -> {
          record("pause of a daemon");
          daemon.pausedUntilMillis = untilMillis;
        }
        case 5 -> {
          record("cut of a daemon from the leader");
          daemon.cutUntilMillis = untilMillis;
        }
        case 6 -> {
          record("replies to a daemon are lost");
          daemon.deafUntilMillis = untilMillis;
        }
        case 7 -> {
          record("cut of " + beat.minion.life().getMinionId() + " from the leader");
          beat.unreachableUntilMillis = untilMillis;
        }
        case 8 -> {
          record("silence of " + beat.minion.life().getMinionId());
          beat.silentUntilMillis = untilMillis;
        }
        case 9 -> {
          record("restart of " + beat.minion.life().getMinionId());
          beat.minion.restart(harness.nowMillis());
        }
        case 10 -> {
          record("late leave of " + beat.minion.life().getMinionId());
          harness.leave(beat.minion.life());
        }
        default -> {}
      }
    }

    void sendForeignReport() {
      if (foreignReports == null || !foreignReports.isNext(FOREIGN_REPORT_STEPS)) {
        return;
      }
      FakeMinion minion = beats.get(random.nextInt(MINIONS)).minion;
      List<String> addresses = beats.stream().map(beat -> beat.minion.address()).toList();
      MinionReport report = foreignReports.next(minion.report(harness.nowMillis()), addresses);
      record("report " + report.toString().replace('\n', ' '));
      daemons.get(random.nextInt(DAEMONS)).receive(report);
    }

    private void record(String event) {
      history.add(harness.nowMillis() + ": " + event);
    }

    private void startLeader() {
      record("leader");
      harness.startSession();
      for (Daemon daemon : daemons) {
        daemon.reports.handleLeaderChange(harness.nowMillis()).ifPresent(daemon::send);
      }
    }

    void endFailures() {
      record("end of failures");
      long nowMillis = harness.nowMillis();
      for (Daemon daemon : daemons) {
        daemon.pausedUntilMillis = nowMillis;
        daemon.cutUntilMillis = nowMillis;
        daemon.deafUntilMillis = nowMillis;
      }
      for (Beat beat : beats) {
        beat.silentUntilMillis = nowMillis;
        beat.unreachableUntilMillis = nowMillis;
      }
    }

    void advance(long millis) {
      for (long endMillis = harness.nowMillis() + millis; harness.nowMillis() < endMillis; ) {
        beats.forEach(Beat::advance);
        daemons.forEach(Daemon::advance);
        harness.advanceTime(DispatcherHarness.TICK_MILLIS);
      }
    }

    /** The heartbeats of a minion, which go to one daemon until one fails there. */
    private final class Beat {

      private final FakeMinion minion;
      private int daemonIndex;
      private long nextMillis;
      private long silentUntilMillis;
      private long unreachableUntilMillis;

      Beat(FakeMinion minion, int daemonIndex, long delayMillis) {
        this.minion = minion;
        this.daemonIndex = daemonIndex;
        this.nextMillis = harness.nowMillis() + delayMillis;
      }

      void advance() {
        long nowMillis = harness.nowMillis();
        minion.setReachable(nowMillis >= unreachableUntilMillis);
        if (nowMillis < nextMillis) {
          return;
        }
        nextMillis += HEARTBEAT_INTERVAL_MILLIS;
        if (nowMillis < silentUntilMillis) {
          return;
        }
        for (int i = 0;
            i < DAEMONS && !daemons.get(daemonIndex).receive(minion.report(nowMillis));
            i++) {
          daemonIndex = (daemonIndex + 1) % DAEMONS;
        }
      }
    }

    /** A control daemon. */
    private final class Daemon {

      private ReceivedReports reports = new ReceivedReports();
      private MinionReports saved = MinionReports.getDefaultInstance();
      private long nextConfirmMillis;
      private long pausedUntilMillis;
      private long cutUntilMillis;
      private long deafUntilMillis;

      Daemon(long delayMillis) {
        nextConfirmMillis = harness.nowMillis() + delayMillis;
      }

      void restart() {
        reports = new ReceivedReports();
        reports.restore(saved, harness.nowMillis());
      }

      /** Handles a heartbeat; returns whether it is acknowledged. */
      boolean receive(MinionReport report) {
        long nowMillis = harness.nowMillis();
        if (nowMillis < pausedUntilMillis) {
          return false;
        }
        Optional<MinionReports> message = reports.add(report, nowMillis);
        reports.snapshotIfChanged().ifPresent(snapshot -> saved = snapshot);
        return message.isEmpty() || send(message.get());
      }

      void advance() {
        long nowMillis = harness.nowMillis();
        if (nowMillis >= nextConfirmMillis && nowMillis >= pausedUntilMillis) {
          nextConfirmMillis = nowMillis + CONFIRM_INTERVAL_MILLIS;
          reports.confirmationRequest(nowMillis).ifPresent(this::send);
        }
      }

      /** Sends a message to the leader; returns whether its reply arrives. */
      private boolean send(MinionReports message) {
        long nowMillis = harness.nowMillis();
        if (nowMillis < cutUntilMillis || nowMillis < pausedUntilMillis) {
          return false;
        }
        MinionReportsReply reply = harness.handleReports(message);
        if (nowMillis < deafUntilMillis) {
          return false;
        }
        reports.handleReply(message, reply, nowMillis).ifPresent(this::send);
        return true;
      }
    }
  }
}
