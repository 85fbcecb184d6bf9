package org.hickoryspar.kernel.scheduling;

import java.util.TreeMap;

/**
 * Spreads the starts in a data centre that has returned over some time.
 *
 * <p>Without it all waiting jobs would start there in one step, before it is known whether the data
 * centre stays, and all their checkpoints would be read at once.
 */
final class DataCentreRamp {

  /** Time over which a data centre is filled after its return. */
  static final long RAMP_MILLIS = 30_000;

  /** Part of the ramp that counts as passed at the return, so that work starts at once. */
  private static final long HEAD_START_MILLIS = 3_000;

  private static final class State {
    private int usableWorkers;
    private int capacity;
    private boolean wasUsable;
    private boolean returning;
    private boolean ramping;
    private long returnedMillis;
    private int started;
  }

  private final TreeMap<String, State> states = new TreeMap<>();
  private int ramping;
  private long nowMillis;

  /** Records that a worker has become usable or unusable. */
  void usable(String dataCentre, int accelerators, boolean usable) {
    State state = states.computeIfAbsent(dataCentre, name -> new State());
    int sign = usable ? 1 : -1;
    state.usableWorkers += sign;
    state.capacity += sign * Math.max(1, accelerators);
    if (usable && state.usableWorkers == 1 && state.wasUsable) {
      state.returning = true;
    }
    if (state.usableWorkers > 0) {
      state.wasUsable = true;
    }
  }

  /** Advances the time; returns whether more may start in some data centre than before. */
  boolean tick(long now) {
    nowMillis = now;
    boolean more = ramping > 0;
    for (State state : states.values()) {
      if (state.returning) {
        ramping += state.ramping ? 0 : 1;
        state.returning = false;
        state.ramping = true;
        state.returnedMillis = now;
        state.started = 0;
      } else if (state.ramping && now - state.returnedMillis >= RAMP_MILLIS) {
        state.ramping = false;
        ramping--;
      }
    }
    return more;
  }

  boolean isActive() {
    return ramping > 0;
  }

  /** Returns whether another gang may start in a data centre now. */
  boolean allows(String dataCentre) {
    State state = ramping == 0 ? null : states.get(dataCentre);
    if (state == null || !state.ramping) {
      return true;
    }
    long passedMillis = nowMillis - state.returnedMillis + HEAD_START_MILLIS;
    return (long) state.started * RAMP_MILLIS < state.capacity * passedMillis;
  }

  /** Records the start of a task. */
  void started(String dataCentre, int accelerators) {
    State state = ramping == 0 ? null : states.get(dataCentre);
    if (state != null) {
      state.started += Math.max(1, accelerators);
    }
  }
}
