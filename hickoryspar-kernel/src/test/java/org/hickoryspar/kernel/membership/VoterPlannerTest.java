package org.hickoryspar.kernel.membership;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class VoterPlannerTest {

  private static final int TOLERATED_FAILURES = 2;
  private static final long REPLACE_AFTER_MILLIS = 1_500;
  private static final long LONG_AGO_MILLIS = 10_000;

  /** Data centres of the instances, by the first letter of their replicas. */
  private static final Map<Character, String> DATA_CENTRES =
      Map.of(
          'a', "north", 'b', "north", 'g', "north", 'c', "south", 'd', "south", 'e', "west", 'f',
          "west");

  private final VoterPlanner planner = new VoterPlanner(TOLERATED_FAILURES, REPLACE_AFTER_MILLIS);

  // -- nextChange

  @DataProvider
  public Object[][] clusters() {
    return new Object[][] {
      {"all voters are there", "a/1 b/1 c/1 d/1 e/1", "", "a/1 b/1 c/1 d/1 e/1", ""},
      {"voters are missing", "a/1 b/1 c/1", "", "a/1 b/1 c/1 e/1", "add e/1"},
      {"a disk was lost", "a/1 b/1 c/1 d/1 e/1", "", "a/1 b/2 c/1 d/1 e/1", "remove b/1"},
      {"the disk of a learner was lost", "a/1 b/1 c/1 d/1", "e/1", "a/1 b/1 e/2", "remove e/1"},
      {"nobody can replace a voter", "a/1 b/1 c/1 d/1 e/1", "", "a/1 b/1 c/1 d/1", ""},
    };
  }

  @Test(dataProvider = "clusters")
  public void shouldPlanNextChange(
      String description, String voters, String learners, String reachable, String expected) {
    assertEquals(planAfterLongTime(voters, learners, reachable), expected, description);
  }

  /**
   * Guards against a cluster that loses its majority for good, because a voter that was only out of
   * reach was removed before two others lost their disks.
   */
  @Test
  public void shouldAddReplacementBeforeUnreachableVoterIsRemoved() {
    assertEquals(planAfterLongTime("a/1 b/1 c/1 d/1 e/1", "", "a/1 b/1 c/1 d/1 f/1"), "add f/1");
    assertEquals(
        planAfterLongTime("a/1 b/1 c/1 d/1 e/1 f/1", "", "a/1 b/1 c/1 d/1 f/1"), "remove e/1");
  }

  /** Guards against a cluster that does not outlast the loss of one data centre. */
  @Test
  public void shouldSpreadVotersWhenOneDataCentreHoldsMajority() {
    assertEquals(
        planAfterLongTime("a/1 b/1 g/1 c/1 e/1", "", "a/1 b/1 g/1 c/1 d/1 e/1"), "add d/1");
    assertEquals(
        planAfterLongTime("a/1 b/1 g/1 c/1 e/1 d/1", "", "a/1 b/1 g/1 c/1 d/1 e/1"), "remove b/1");
    assertEquals(planAfterLongTime("a/1 g/1 c/1 e/1 d/1", "", "a/1 b/1 g/1 c/1 d/1 e/1"), "");
  }

  private String planAfterLongTime(String voters, String learners, String reachable) {
    ClusterView view = view(voters, learners, reachable);
    planner.nextChange(view, 0);
    return describe(planner.nextChange(view, LONG_AGO_MILLIS));
  }

  private static ClusterView view(String voters, String learners, String reachable) {
    List<ReachableReplica> replicas = new ArrayList<>();
    for (String replicaId : list(reachable)) {
      replicas.add(new ReachableReplica(replicaId, DATA_CENTRES.get(replicaId.charAt(0))));
    }
    return new ClusterView("a/1", list(voters), list(learners), replicas);
  }

  private static List<String> list(String replicaIds) {
    return replicaIds.isEmpty() ? List.of() : List.of(replicaIds.split(" "));
  }

  private static String describe(Optional<VoterChange> change) {
    return change
        .map(
            c ->
                c instanceof VoterChange.Add add
                    ? "add " + add.replicaId()
                    : "remove " + ((VoterChange.Remove) c).replicaId())
        .orElse("");
  }
}
