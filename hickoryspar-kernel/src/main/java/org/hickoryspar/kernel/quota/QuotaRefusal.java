package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

/** Why tasks of a team are not started, although minions may have room for them. */
public sealed interface QuotaRefusal {

  /**
   * Returns the name of the team.
   *
   * @return the name
   */
  String team();

  /**
   * Returns the cause in words for logs and callers.
   *
   * @return a phrase that names the team and what keeps its tasks from starting
   */
  String reason();

  /**
   * The team has too little left under its quota.
   *
   * @param team name of the team
   * @param resource the first resource of which too little is left
   * @param inUse amount that the team has in use
   * @param demand amount that the tasks demand together
   * @param quota amount that the team may have in use
   */
  record Exceeded(String team, LimitedResource resource, long inUse, long demand, long quota)
      implements QuotaRefusal {

    /**
     * Rejects missing components.
     *
     * @throws NullPointerException if a component is null
     */
    public Exceeded {
      requireNonNull(team, "team is null");
      requireNonNull(resource, "resource is null");
    }

    @Override
    public String reason() {
      return "team "
          + team
          + " has "
          + inUse
          + " of its quota of "
          + quota
          + ' '
          + resource.unit()
          + " in use and demands "
          + demand
          + " more";
    }
  }

  /**
   * The next room of the team is kept for a group that has been passed over for too long.
   *
   * @param team name of the team
   * @param holder the group that has precedence
   */
  record KeptForOther(String team, String holder) implements QuotaRefusal {

    /**
     * Rejects missing components.
     *
     * @throws NullPointerException if a component is null
     */
    public KeptForOther {
      requireNonNull(team, "team is null");
      requireNonNull(holder, "holder is null");
    }

    @Override
    public String reason() {
      return "what is left of the quota of team " + team + " is kept for " + holder;
    }
  }
}
