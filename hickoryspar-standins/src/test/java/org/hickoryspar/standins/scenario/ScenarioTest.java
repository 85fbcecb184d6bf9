package org.hickoryspar.standins.scenario;

import io.cucumber.testng.CucumberOptions;
import io.cucumber.testng.FeatureWrapper;
import io.cucumber.testng.PickleWrapper;
import io.cucumber.testng.TestNGCucumberRunner;
import org.testng.ITestContext;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the scenarios of the feature files against clusters of real processes.
 *
 * <p>Calls the Cucumber runner directly, because the test engine does not find inherited test
 * methods.
 */
@CucumberOptions(
    features = "classpath:org/hickoryspar/standins/scenario",
    glue = "org.hickoryspar.standins.scenario",
    plugin = {"summary"})
public class ScenarioTest {

  private TestNGCucumberRunner runner;

  /**
   * Runs four scenarios at a time; their clusters of about eight processes leave most of the
   * machine free.
   */
  @BeforeClass
  public void createRunner(ITestContext testContext) {
    testContext.getCurrentXmlTest().getSuite().setDataProviderThreadCount(4);
    runner = new TestNGCucumberRunner(getClass());
  }

  @AfterClass(alwaysRun = true)
  public void finish() {
    runner.finish();
  }

  @DataProvider(parallel = true)
  Object[][] scenarios() {
    return runner.provideScenarios();
  }

  /** Guards against violated invariants when processes and links fail. */
  @Test(dataProvider = "scenarios")
  public void shouldPassScenario(PickleWrapper scenario, FeatureWrapper feature) {
    runner.runScenario(scenario.getPickle());
  }
}
