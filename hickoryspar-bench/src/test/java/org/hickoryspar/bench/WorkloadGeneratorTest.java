package org.hickoryspar.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkloadGeneratorTest {

  @DataProvider
  public static Object[][] deployments() {
    return new Object[][] {
      {"archive", 30, 3, 4}, {"caroni", 30, 3, 4}, {"two-years", 1_700, 21, 65}
    };
  }

  /** Guards against workloads that their seed does not reproduce. */
  @Test(dataProvider = "deployments")
  public void shouldGenerateTheSameWorkloadWhenTheSeedIsTheSame(
      String name, int workers, int dataCentres, int teams) {
    Workload workload = WorkloadGenerator.generate(Deployment.named(name), 5);
    assertEquals(WorkloadGenerator.generate(Deployment.named(name), 5), workload);
    assertNotEquals(WorkloadGenerator.generate(Deployment.named(name), 6), workload);
  }

  /** Guards against workloads without the size, behaviours or incidents of the design page. */
  @Test(dataProvider = "deployments")
  public void shouldMatchTheSizesAndIncidentsOfTheDesignPage(
      String name, int workers, int dataCentres, int teams) {
    Workload workload = WorkloadGenerator.generate(Deployment.named(name), 5);
    assertEquals(workload.workers().size(), workers);
    assertEquals(
        workload.workers().stream().map(w -> w.dataCentre()).distinct().count(), dataCentres);
    assertEquals(workload.config().teams().size(), teams);
    assertEquals(
        workload.jobs().stream().map(JobModel::behaviour).collect(Collectors.toSet()),
        EnumSet.allOf(JobModel.Behaviour.class));
    assertEquals(
        workload.incidents().stream().map(Object::getClass).collect(Collectors.toSet()),
        Set.of(
            Incident.MassCancellation.class,
            Incident.DataCentreOutage.class,
            Incident.FaultyWorker.class,
            Incident.WorkerOutage.class));
  }
}
