package org.hickoryspar.standins.platform;

import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.node.platform.Platform.PrepareRequest;

/** A lease and the simulated task that runs under it. */
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
  private final long startDeadlineMillis;
  private long leaseExpiryMillis;
  private State state = State.PREPARED;
  private long startedMillis = -1;
  private long endedMillis = -1;
  private int checkpoints;
  private int starts;
  private int throttlePercent = 100;

  SimulatedTask(PrepareRequest request, long nowMillis) {
    this.request = request;
    this.leaseExpiryMillis = nowMillis + request.leaseMillis();
    this.startDeadlineMillis = nowMillis + request.startBeforeMillis();
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

  boolean canStart(long nowMillis) {
    return nowMillis <= startDeadlineMillis;
  }

  void start(long nowMillis) {
    state = State.RUNNING;
    startedMillis = nowMillis;
    starts++;
  }

  void renew(long nowMillis, long leaseMillis) {
    leaseExpiryMillis = nowMillis + leaseMillis;
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

  /** Applies the state change that is due: injected failure, completion or expiry of the lease. */
  void advance(long nowMillis, boolean failing) {
    if (state == State.RUNNING && failing) {
      end(State.FAILED, nowMillis);
    } else if (state == State.RUNNING && nowMillis - startedMillis >= request.runHintMillis()) {
      end(State.SUCCEEDED, nowMillis);
    } else if (state.holdsResources() && nowMillis >= leaseExpiryMillis) {
      end(State.EXPIRED, nowMillis);
    }
  }
}
