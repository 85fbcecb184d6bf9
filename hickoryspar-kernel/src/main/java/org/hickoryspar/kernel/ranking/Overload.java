package org.hickoryspar.kernel.ranking;

import java.util.Optional;

/**
 * Whether the backlog of a service exceeds its room. Begins at a pressure of 100 percent and ends
 * only after some time below a lower pressure, so that the order of work does not change to and fro
 * while the load is about as large as the room.
 */
public final class Overload {

  private static final int ENTER_PERCENT = 100;
  private static final int LEAVE_PERCENT = 80;

  /** The pressure must be below {@link #LEAVE_PERCENT} for this long. */
  private static final long LEAVE_AFTER_MILLIS = 2_000;

  private static final long NEVER_MILLIS = Long.MAX_VALUE;

  private boolean active;
  private int pressurePercent;
  private int highestPercent;
  private long sinceMillis;
  private long belowSinceMillis = NEVER_MILLIS;

  /** Creates the state of a service without a backlog. */
  public Overload() {}

  /**
   * Records the pressure of the backlog.
   *
   * @param percent the pressure, see {@link BacklogPressure}
   * @param nowMillis monotonic time in milliseconds
   * @return the change if the overload begins or ends now
   */
  public Optional<Change> update(int percent, long nowMillis) {
    pressurePercent = percent;
    highestPercent = Math.max(highestPercent, percent);
    if (!active) {
      return percent >= ENTER_PERCENT ? Optional.of(enter(nowMillis)) : Optional.empty();
    }
    if (percent >= LEAVE_PERCENT) {
      belowSinceMillis = NEVER_MILLIS;
      return Optional.empty();
    }
    belowSinceMillis = Math.min(belowSinceMillis, nowMillis);
    return nowMillis - belowSinceMillis >= LEAVE_AFTER_MILLIS
        ? Optional.of(leave(nowMillis))
        : Optional.empty();
  }

  private Change enter(long nowMillis) {
    active = true;
    highestPercent = pressurePercent;
    sinceMillis = nowMillis;
    belowSinceMillis = NEVER_MILLIS;
    return new Change(true, pressurePercent, highestPercent, 0);
  }

  private Change leave(long nowMillis) {
    active = false;
    return new Change(false, pressurePercent, highestPercent, nowMillis - sinceMillis);
  }

  /**
   * Returns whether the overload has begun and not ended.
   *
   * @return true during an overload
   */
  public boolean isActive() {
    return active;
  }

  /**
   * Returns the pressure that was recorded last.
   *
   * @return the pressure in percent
   */
  public int pressurePercent() {
    return pressurePercent;
  }

  /**
   * The beginning or the end of an overload.
   *
   * @param isBeginning whether the overload begins
   * @param pressurePercent the pressure at that time
   * @param highestPercent the highest pressure during the overload
   * @param lastedMillis how long the overload has lasted, in milliseconds
   */
  public record Change(
      boolean isBeginning, int pressurePercent, int highestPercent, long lastedMillis) {}
}
