package org.hickoryspar.node.cluster;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the membership of the cluster, numbers 2200 to 2299. */
enum ClusterEvent implements LogEvent {
  CONTROL_FOUND(2201, Level.INFO, "discovered a control daemon at %s from %s"),
  LEADER_KNOWN(2202, Level.INFO, "the leader is %s in term %d"),
  VOTER_CHANGE(2203, Level.INFO, "starting a voter change: %s"),
  VOTER_CHANGE_DONE(2204, Level.INFO, "the voter change is complete, voters: %s"),
  VOTER_CHANGE_FAILED(2205, Level.WARNING, "the voter change failed: %s"),
  ADDRESS_UNUSABLE(2207, Level.WARNING, "control address \"%s\" from %s is unusable: %s"),
  NO_LEADER(2208, Level.WARNING, "no leader is known for %d ms; voters: %s, out of reach: %s");

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
