package org.hickoryspar.node.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  @DataProvider
  public Iterator<Object[]> files() throws IOException {
    try (Stream<Path> files = Files.walk(EXAMPLES)) {
      List<Object[]> rows =
          files
              .filter(file -> file.toString().endsWith(".json"))
              .filter(file -> !file.startsWith(EXAMPLES.resolve("jobs")))
              .map(file -> new Object[] {file})
              .toList();
      return rows.iterator();
    }
  }

  /** Guards against published examples that the loaders reject. */
  @Test(dataProvider = "files")
  public void shouldAcceptEveryExample(Path file) {
    Result<?> result =
        file.endsWith("fleet.json")
            ? new FleetLoader().load(file)
            : new SettingsLoader().load(file);

    assertTrue(result.isSuccess(), result.problem().map(Problem::message).orElse(""));
  }

  /** Guards against settings of one cluster that list different instances. */
  @Test(dataProvider = "deployments")
  public void shouldListSameInstancesInAllSettingsOfDeployment(String deployment)
      throws IOException {
    try (Stream<Path> files = Files.list(EXAMPLES.resolve(deployment).resolve("settings"))) {
      List<Settings> allSettings =
          files.map(file -> new SettingsLoader().load(file).fold(p -> null, s -> s)).toList();

      assertEquals(allSettings.size(), 6);
      assertEquals(allSettings.stream().map(Settings::instances).distinct().count(), 1);
      assertEquals(allSettings.stream().filter(settings -> settings.control() != null).count(), 5);
    }
  }

  @DataProvider
  public Object[][] deployments() {
    return new Object[][] {{"armor-snowflake-archive"}, {"caroni-fountain-diagnostics"}};
  }
}
