package org.hickoryspar.kernel.dispatch;

import java.util.List;
import java.util.Random;
import org.hickoryspar.protocol.MinionReport;

/**
 * Draws reports of a writer that is no minion. They differ from a report of a minion in some of its
 * fields. One that names a service of the catalog is never of the life that the minion has: nothing
 * would tell it from the minion's own word.
 */
final class ForeignReports {

  static final String UNNAMED_SERVICE = "unnamed-service";

  private static final String UNUSED_ADDRESS = "nowhere";
  private static final int IDENTIFIERS = 3;
  private static final int MAX_SEQUENCE = 2_000;
  private static final int MAX_BIRTH_DIFFERENCE_MILLIS = 60_000;
  private static final long STALE_AGE_MILLIS = 60_000;

  private final Random random;

  ForeignReports(Random random) {
    this.random = random;
  }

  /** Returns whether the writer sends a report now: once in some calls. */
  boolean isNext(int calls) {
    return random.nextInt(calls) == 0;
  }

  /** Draws a report from one of a minion and the addresses of all minions. */
  MinionReport next(MinionReport sound, List<String> addresses) {
    MinionReport.Builder report =
        sound.toBuilder()
            .setSequence(random.nextInt(MAX_SEQUENCE))
            .setAddress(drawAddress(addresses))
            .setDraining(random.nextBoolean());
    if (random.nextBoolean()) {
      report.getLifeBuilder().setMinionId("writer-" + random.nextInt(IDENTIFIERS));
    }
    if (random.nextInt(3) > 0) {
      report.getLifeBuilder().setBornMillis(drawBirth(sound.getLife().getBornMillis()));
    }
    if (random.nextInt(3) == 0) {
      report.clearCapacity();
    }
    if (random.nextInt(6) == 0) {
      report.setAgeMillis(STALE_AGE_MILLIS);
    }
    if (random.nextBoolean() || report.getLife().equals(sound.getLife())) {
      report.setService(UNNAMED_SERVICE);
    }
    return report.build();
  }

  private String drawAddress(List<String> addresses) {
    int index = random.nextInt(addresses.size() + 1);
    return index == addresses.size() ? UNUSED_ADDRESS : addresses.get(index);
  }

  private long drawBirth(long soundMillis) {
    int differenceMillis =
        random.nextInt(2 * MAX_BIRTH_DIFFERENCE_MILLIS) - MAX_BIRTH_DIFFERENCE_MILLIS;
    return Math.max(1, soundMillis + differenceMillis);
  }
}
