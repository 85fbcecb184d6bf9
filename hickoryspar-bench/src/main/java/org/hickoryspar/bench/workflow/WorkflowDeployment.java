package org.hickoryspar.bench.workflow;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;

/**
 * A fleet of minions and the kinds of workflows that are submitted to it. The component names are
 * keys of the deployment files.
 *
 * @param name name of the deployment
 * @param minionCount number of minions
 * @param minionsPerRack number of minions in a rack
 * @param cpuMillicores CPU capacity of a minion
 * @param memoryMegabytes memory of a minion
 * @param teams number of teams
 * @param guaranteedShare share of the accelerators that is guaranteed to all teams together
 * @param kinds kinds of workflows
 */
record WorkflowDeployment(
    String name,
    int minionCount,
    int minionsPerRack,
    long cpuMillicores,
    long memoryMegabytes,
    int teams,
    double guaranteedShare,
    List<WorkflowKind> kinds) {

  private static final int ACCELERATORS = 8;
  private static final int DATA_CENTRES = 3;

  WorkflowDeployment {
    kinds = List.copyOf(kinds);
  }

  /**
   * Reads a deployment from the resources of this package.
   *
   * @throws IllegalArgumentException if there is no deployment of this name or it cannot be read
   */
  static WorkflowDeployment named(String name) {
    try (InputStream file = WorkflowDeployment.class.getResourceAsStream(name + ".json")) {
      if (file == null) {
        throw new IllegalArgumentException("unknown deployment \"" + name + '"');
      }
      return new ObjectMapper().readValue(file, WorkflowDeployment.class);
    } catch (IOException e) {
      throw new IllegalArgumentException("deployment \"" + name + "\" cannot be read", e);
    }
  }

  /** Returns the same deployment with its fleet and arrival rates multiplied by a factor. */
  WorkflowDeployment scaledBy(double factor) {
    return new WorkflowDeployment(
        name,
        (int) (minionCount * factor),
        minionsPerRack,
        cpuMillicores,
        memoryMegabytes,
        teams,
        guaranteedShare,
        kinds.stream().map(kind -> kind.withScaledRate(factor)).toList());
  }

  /** Returns the number of tasks of a kind that fit on an idle rack. */
  int tasksPerRack(WorkflowKind kind, int accelerators) {
    long tasksPerMinion =
        Math.min(
            ACCELERATORS / accelerators,
            Math.min(
                cpuMillicores / kind.cpuMillicores(), memoryMegabytes / kind.memoryMegabytes()));
    return (int) tasksPerMinion * minionsPerRack;
  }

  /** Returns the settings of the dispatcher. */
  static DispatchSettings dispatchSettings() {
    return new DispatchSettings(
        4_500,
        6_000,
        700,
        300,
        1_500,
        400,
        4_000,
        3,
        2_900,
        120_000,
        100,
        0,
        RunTimeSource.LEARNED);
  }

  CatalogState catalog() {
    Catalog.Builder catalog =
        Catalog.newBuilder()
            .setVersion(1)
            .addServices(ServicePolicy.newBuilder().setName(WorkflowGenerator.SERVICE));
    kinds.forEach(kind -> catalog.addQueues(WorkflowGenerator.queue(kind)));
    int guaranteedPerTeam = (int) (minionCount * ACCELERATORS * guaranteedShare / teams);
    for (int team = 0; team < teams; team++) {
      catalog.addTeams(
          TeamEntitlement.newBuilder()
              .setName("team-" + team)
              .addKeys("key-" + team)
              .setGuaranteedAccelerators(guaranteedPerTeam));
    }
    CatalogState state = new CatalogState();
    state.apply(CatalogChange.newBuilder().setCatalog(catalog).build());
    return state;
  }

  void addMinions(
      Map<String, SimulatedMinion> minions, long nowMillis, SimulatedMinion.RunObserver observer) {
    Random random = new Random(minionCount);
    List<SimulatedMinion> created = new ArrayList<>();
    for (int i = 0; i < minionCount; i++) {
      created.add(
          new SimulatedMinion(
              "minion-" + i,
              "rack-" + i / minionsPerRack,
              "dc-" + (i / minionsPerRack) % DATA_CENTRES,
              TaskDemand.newBuilder()
                  .setCpuMillicores(cpuMillicores)
                  .setMemoryMegabytes(memoryMegabytes)
                  .setAccelerators(ACCELERATORS)
                  .build(),
              0.98 + 0.02 * random.nextDouble(),
              nowMillis - 1_000 - random.nextInt(1_000),
              observer));
    }
    created.forEach(minion -> minions.put(minion.id(), minion));
  }
}
