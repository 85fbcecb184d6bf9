package org.hickoryspar.standins.scenario;

/** State that the step classes of one scenario share. */
public class ScenarioContext {

  private TestCluster cluster;

  boolean hasCluster() {
    return cluster != null;
  }

  TestCluster cluster() {
    return cluster;
  }

  void setCluster(TestCluster cluster) {
    this.cluster = cluster;
  }
}
