package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.value.Resources;

/**
 * The resources that each team has in use. An amount counts from the decision to start a task until
 * the task can no longer run. Not thread-safe.
 */
public final class TeamUsage {

  private final Map<String, Resources> inUseByTeam = new HashMap<>();

  /** Creates a state in which nothing is in use. */
  public TeamUsage() {}

  /**
   * Adds an amount to what a team has in use.
   *
   * @param team name of the team
   * @param amount the amount
   */
  public void add(String team, Resources amount) {
    requireNonNull(team, "team is null");
    inUseByTeam.merge(team, requireNonNull(amount, "amount is null"), Resources::plus);
  }

  /**
   * Removes an amount that was added before.
   *
   * @param team name of the team
   * @param amount the amount
   */
  public void remove(String team, Resources amount) {
    requireNonNull(team, "team is null");
    Resources remaining = inUse(team).minus(requireNonNull(amount, "amount is null"));
    if (remaining.equals(Resources.NONE)) {
      inUseByTeam.remove(team);
    } else {
      inUseByTeam.put(team, remaining);
    }
  }

  /**
   * Returns what a team has in use.
   *
   * @param team name of the team
   * @return the sum of the amounts that were added and not removed
   */
  public Resources inUse(String team) {
    return inUseByTeam.getOrDefault(requireNonNull(team, "team is null"), Resources.NONE);
  }
}
