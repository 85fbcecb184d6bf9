package org.hickoryspar.standins.platform;

import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.node.platform.Platform.PrepareRequest;

/** One lease with its simulated task. */
final class SimulatedTask {

  enum State {
    PREPARED,
    RUNNING,
    SUCCEEDED,
    FAILED,
    EXPIRED,
    STOPPED;

    boolean holdsResources() {
      return this == PREPARED || this == RUNNING;
    }
  }

  private final PrepareRequest request;
  private final long startLimitMillis;
  private long leaseEndMillis;
  private State state = State.PREPARED;
  private long startedMillis = -1;
  private long endedMillis = -1;
  private int checkpoints;
  private int starts;
  private int throttlePercent = 100;

  SimulatedTask(PrepareRequest request, long nowMillis) {
    this.request = request;
    this.leaseEndMillis = nowMillis + request.leaseMillis();
    this.startLimitMillis = nowMillis + request.startBeforeMillis();
  }

  PrepareRequest request() {
    return request;
  }

  ResourceVector resources() {
    return request.resources();
  }

  State state() {
    return state;
  }

  long startedMillis() {
    return startedMillis;
  }

  long endedMillis() {
    return endedMillis;
  }

  int starts() {
    return starts;
  }

  int checkpoints() {
    return checkpoints;
  }

  int throttlePercent() {
    return throttlePercent;
  }

  boolean mayStart(long nowMillis) {
    return nowMillis <= startLimitMillis;
  }

  void start(long nowMillis) {
    state = State.RUNNING;
    startedMillis = nowMillis;
    starts++;
  }

  void renew(long nowMillis, long leaseMillis) {
    leaseEndMillis = nowMillis + leaseMillis;
  }

  void checkpoint() {
    checkpoints++;
  }

  void throttle(int percent) {
    throttlePercent = percent;
  }

  void end(State endState, long nowMillis) {
    if (state.holdsResources()) {
      state = endState;
      endedMillis = nowMillis;
    }
  }

  /** Moves the task to the state that it has reached by itself. */
  void advance(long nowMillis, boolean fails) {
    if (state == State.RUNNING && fails) {
      end(State.FAILED, nowMillis);
    } else if (state == State.RUNNING && nowMillis - startedMillis >= request.runHintMillis()) {
      end(State.SUCCEEDED, nowMillis);
    } else if (state.holdsResources() && nowMillis >= leaseEndMillis) {
      end(State.EXPIRED, nowMillis);
    }
  }
}
