package org.hickoryspar.node.control;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the control daemon. */
enum ControlEvent implements LogEvent {
  STARTED(3001, Level.INFO, "control daemon %s started; HTTP on %s, peers on %s"),
  STOPPING(3002, Level.INFO, "control daemon %s is stopping"),
  LEADING(3003, Level.INFO, "this replica is the leader in term %d: %d jobs, %d workers"),
  NOT_LEADING(3004, Level.INFO, "this replica is no longer the leader; its last term was %d"),
  DECISION_REFUSED(3005, Level.INFO, "the placement of job %s was refused: %s"),
  GANG_UNDONE(3006, Level.INFO, "gang of job %s is rolled back: %s"),
  GANG_RUNNING(3007, Level.INFO, "gang of job %s runs with %d tasks"),
  PLATFORM_FAILED(3008, Level.WARNING, "platform call %s failed: %s"),
  FLEET_CHANGED(3009, Level.INFO, "fleet version %d by %s: %s (%s)"),
  GUARANTEE_BROKEN(3010, Level.SEVERE, "guarantee of team %s cannot be formed: %s"),
  GUARANTEE_RESTORED(3011, Level.INFO, "guarantee of team %s can be formed again"),
  ENTRY_LOST(
      3012,
      Level.INFO,
      "an earlier process of entry %s has ended; the outcome of its open claims is unknown"),
  LOOP_FAILED(3013, Level.SEVERE, "the scheduling loop failed; its state is rebuilt"),
  JOB_REJECTED(3014, Level.INFO, "job %s is rejected: %s");

  private final int number;
  private final Level level;
  private final String template;

  ControlEvent(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String template() {
    return template;
  }
}
