package org.hickoryspar.node.cluster;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the membership of the cluster, 2200 to 2299. */
enum ClusterEvent implements LogEvent {
  CONTROL_FOUND(2201, Level.INFO, "a control daemon is known at %s, from %s"),
  LEADER_KNOWN(2202, Level.INFO, "%s leads in term %d"),
  VOTER_CHANGE(2203, Level.INFO, "voters shall change: %s"),
  VOTER_CHANGE_DONE(2204, Level.INFO, "the voters have changed: %s"),
  VOTER_CHANGE_FAILED(2205, Level.WARNING, "the voters have not changed: %s"),
  TICK_FAILED(2206, Level.SEVERE, "a check of the cluster failed and is repeated");

  private final int number;
  private final Level level;
  private final String template;

  ClusterEvent(int number, Level level, String template) {
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
