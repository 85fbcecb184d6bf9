package org.hickoryspar.kernel.scheduling;

import java.util.TreeMap;

/**
 * Limits the rate of starts in a data centre that has returned to service.
 *
 * <p>Without the limit all waiting jobs would start there at once, before it is known whether the
 * data centre stays available, and all their checkpoints would be read at the same time.
 */
final class DataCentreRamp {

  /** Duration of a ramp, in which the accelerators that starts may use grow linearly to all. */
  static final long RAMP_MILLIS = 30_000;

  /** Part of the ramp that counts as elapsed at the return, so that starts begin at once. */
  private static final long INITIAL_ELAPSED_MILLIS = 3_000;

  private static final class State {
    private int usableWorkers;
    private int usableAccelerators;
    private boolean wasUsable;
    private boolean rampPending;
    private boolean ramping;
    private long returnedMillis;
    private int startedAccelerators;
  }

  private final TreeMap<String, State> states = new TreeMap<>();
  private int rampingDataCentres;
  private long nowMillis;

  /**
   * Records that a worker has become usable or unusable; a worker without accelerators counts as
   * one accelerator.
   */
  void workerUsabilityChanged(String dataCentre, int accelerators, boolean usable) {
    State state = states.computeIfAbsent(dataCentre, name -> new State());
    int sign = usable ? 1 : -1;
    state.usableWorkers += sign;
    state.usableAccelerators += sign * Math.max(1, accelerators);
    if (usable && state.usableWorkers == 1 && state.wasUsable) {
      state.rampPending = true;
    }
    if (state.usableWorkers > 0) {
      state.wasUsable = true;
    }
  }

  /** Advances the time; returns whether a ramp was active, so that more starts may be allowed. */
  boolean advance(long currentMillis) {
    nowMillis = currentMillis;
    boolean wasRamping = rampingDataCentres > 0;
    for (State state : states.values()) {
      if (state.rampPending) {
        rampingDataCentres += state.ramping ? 0 : 1;
        state.rampPending = false;
        state.ramping = true;
        state.returnedMillis = currentMillis;
        state.startedAccelerators = 0;
      } else if (state.ramping && currentMillis - state.returnedMillis >= RAMP_MILLIS) {
        state.ramping = false;
        rampingDataCentres--;
      }
    }
    return wasRamping;
  }

  boolean isActive() {
    return rampingDataCentres > 0;
  }

  /** Returns whether another gang may start in a data centre. */
  boolean allowsStart(String dataCentre) {
    State state = rampingDataCentres == 0 ? null : states.get(dataCentre);
    if (state == null || !state.ramping) {
      return true;
    }
    long elapsedMillis = nowMillis - state.returnedMillis + INITIAL_ELAPSED_MILLIS;
    return (long) state.startedAccelerators * RAMP_MILLIS
        < state.usableAccelerators * elapsedMillis;
  }

  void taskStarted(String dataCentre, int accelerators) {
    State state = rampingDataCentres == 0 ? null : states.get(dataCentre);
    if (state != null) {
      state.startedAccelerators += Math.max(1, accelerators);
    }
  }
}
