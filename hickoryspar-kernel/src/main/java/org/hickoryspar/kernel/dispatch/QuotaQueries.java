package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.quota.QuotaRefusal;
import org.hickoryspar.kernel.quota.TeamQuotaStatus;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.protocol.WorkflowSpec;

/** Answers questions on the quotas of teams from the state of a dispatcher. Not thread-safe. */
public final class QuotaQueries {

  private final CatalogState catalog;
  private final TeamQuotas quotas;
  private final MinionTable minions;

  QuotaQueries(CatalogState catalog, TeamQuotas quotas, MinionTable minions) {
    this.catalog = catalog;
    this.quotas = quotas;
    this.minions = minions;
  }

  /**
   * Returns what each team of the catalog has in use, with its quota.
   *
   * @return one status for each team, in the order of the catalog
   */
  public List<TeamQuotaStatus> status() {
    Resources capacity =
        minions.all().stream().map(Minion::capacity).reduce(Resources.NONE, Resources::plus);
    return catalog.view().teamNames().stream().map(team -> quotas.status(team, capacity)).toList();
  }

  /**
   * Finds a step of a workflow that could not even start under the current quota if nothing else of
   * its team ran.
   *
   * @param team name of the team
   * @param spec the workflow
   * @return why the first such step cannot start, or empty if all steps can
   */
  public Optional<QuotaRefusal> findNeverStarting(String team, WorkflowSpec spec) {
    requireNonNull(team, "team is null");
    return requireNonNull(spec, "spec is null").getStepsList().stream()
        .map(
            step ->
                quotas.checkAlone(
                    team, Resources.of(step.getDemand()), step.getGang() ? step.getTasks() : 1))
        .flatMap(Optional::stream)
        .findFirst();
  }
}
