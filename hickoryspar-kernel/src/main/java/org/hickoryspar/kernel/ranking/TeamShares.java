package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.hickoryspar.kernel.value.Resources;

/**
 * What each team uses of the capacity of a service. The share of a team is its share of the
 * resource of which it uses most, divided by its weight (dominant resource fairness).
 */
public final class TeamShares {

  private static final int PERCENT = 100;
  private static final double MICROS_PER_MILLI = 1_000;

  private final Amount capacity;
  private final ToDoubleFunction<String> weightOf;
  private final Map<String, Amount> useByTeam = new HashMap<>();

  /**
   * Creates the shares of teams.
   *
   * @param capacity resources of all minions that accept work of the service
   * @param weightOf returns the weight of a team, which is positive
   */
  public TeamShares(Resources capacity, ToDoubleFunction<String> weightOf) {
    this.capacity = Amount.of(requireNonNull(capacity, "capacity is null"));
    this.weightOf = requireNonNull(weightOf, "weightOf is null");
  }

  private TeamShares(TeamShares other) {
    this.capacity = other.capacity;
    this.weightOf = other.weightOf;
    useByTeam.putAll(other.useByTeam);
  }

  /** Returns shares that change independently of these. */
  TeamShares copy() {
    return new TeamShares(this);
  }

  /**
   * Adds resources to what a team uses.
   *
   * @param team name of the team
   * @param demand the resources
   */
  public void add(String team, Resources demand) {
    requireNonNull(team, "team is null");
    useByTeam.merge(team, Amount.of(requireNonNull(demand, "demand is null")), Amount::plus);
  }

  /**
   * Returns how long the whole capacity would be occupied by the work of an item, in microseconds.
   */
  long workMicros(BacklogItem item) {
    double share = Amount.of(item.demand()).highestShareOf(capacity);
    return (long) (share * item.runMillis() * MICROS_PER_MILLI);
  }

  /** Returns the share of a team divided by its weight. */
  double weightedShare(String team) {
    return share(team) / weightOf.applyAsDouble(team);
  }

  private double share(String team) {
    return useByTeam.getOrDefault(team, Amount.NONE).highestShareOf(capacity);
  }

  /**
   * Returns the share of a team of the resource of which it uses most.
   *
   * @param team name of the team
   * @return the share in percent, rounded down
   */
  public int percent(String team) {
    return (int) (share(requireNonNull(team, "team is null")) * PERCENT);
  }

  /**
   * Returns the weight of a team.
   *
   * @param team name of the team
   * @return the weight, which is positive
   */
  public double weight(String team) {
    return weightOf.applyAsDouble(requireNonNull(team, "team is null"));
  }
}
