package org.hickoryspar.kernel.catalog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CatalogValidatorTest {

  private static TeamEntitlement.Builder team(double weight, long millicores, int accelerators) {
    return TeamEntitlement.newBuilder()
        .setName("a")
        .setGuaranteedAccelerators(8)
        .setWeight(weight)
        .setQuota(
            TaskDemand.newBuilder().setCpuMillicores(millicores).setAccelerators(accelerators));
  }

  @DataProvider
  Object[][] invalidTeams() {
    return new Object[][] {
      {team(-1, 0, 0), "weight"},
      {team(Double.NaN, 0, 0), "weight"},
      {team(Double.POSITIVE_INFINITY, 0, 0), "weight"},
      {team(1, -1, 0), "negative quota"},
      {team(1, 0, -1), "negative quota"},
      {team(1, 0, 7), "quota of 7 accelerators, fewer than the 8 that it is guaranteed"},
    };
  }

  /** Guards against a broken entitlement that takes effect or replaces the one in force. */
  @Test(dataProvider = "invalidTeams")
  public void shouldRefuseABrokenEntitlementAndChangeNothing(
      TeamEntitlement.Builder broken, String reason) {
    CatalogState state = new CatalogState();
    apply(state, 1, team(2, 4_000, 8));

    String message = apply(state, 2, broken);

    assertTrue(message.contains("team a has ") && message.contains(reason), message);
    assertEquals(state.view().version(), 1);
    assertEquals(state.view().teamQuota("a").accelerators(), 8);
  }

  private static String apply(CatalogState state, long version, TeamEntitlement.Builder team) {
    Catalog catalog = Catalog.newBuilder().setVersion(version).addTeams(team).build();
    return state
        .apply(CatalogChange.newBuilder().setCatalog(catalog).build())
        .map(Object::toString)
        .orElse("");
  }
}
