package org.hickoryspar.bench;

import static java.util.stream.Collectors.joining;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.hickoryspar.node.observability.LogEvent;
import org.testng.annotations.Test;

/**
 * Compares the catalogue of events with the code. The test is in this module because its class path
 * contains the events of all modules except the adapters, which have a test of their own.
 */
public class EventCatalogueTest {

  /** Events of adapters have numbers from this one on. */
  private static final int FIRST_ADAPTER_NUMBER = 8_000;

  private static final Path CATALOGUE_PAGE = Path.of("..", "docs", "events.md");

  private static List<LogEvent> allEvents() {
    List<LogEvent> events = new ArrayList<>();
    for (JavaClass type :
        new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.hickoryspar")) {
      if (type.isEnum() && type.isAssignableTo(LogEvent.class)) {
        for (Object constant : type.reflect().getEnumConstants()) {
          events.add((LogEvent) constant);
        }
      }
    }
    return events;
  }

  private static String row(LogEvent event) {
    return "| %d | %s | `%s` |".formatted(event.number(), event.level(), event);
  }

  private static int eventNumber(String row) {
    return Integer.parseInt(row.split("\\|")[1].strip());
  }

  private static String rowsMissingFrom(Set<String> rows, Set<String> otherRows) {
    return rows.stream().filter(row -> !otherRows.contains(row)).sorted().collect(joining("\n"));
  }

  /** Guards against an event that is logged but missing in the catalogue, and the reverse. */
  @Test
  public void shouldListEveryEvent() throws Exception {
    Set<String> expectedRows =
        allEvents().stream().map(EventCatalogueTest::row).collect(Collectors.toSet());
    Set<String> listedRows = new TreeSet<>();
    for (String line : Files.readAllLines(CATALOGUE_PAGE)) {
      if (line.matches("\\| \\d+ \\|.*") && eventNumber(line) < FIRST_ADAPTER_NUMBER) {
        listedRows.add(line.replaceAll("^(\\|[^|]*\\|[^|]*\\|[^|]*\\|).*", "$1"));
      }
    }

    assertFalse(expectedRows.isEmpty());
    assertEquals(rowsMissingFrom(expectedRows, listedRows), "", "rows to add");
    assertEquals(rowsMissingFrom(listedRows, expectedRows), "", "rows to remove");
  }

  /** Guards against two events with the same number. */
  @Test
  public void shouldGiveEachEventItsOwnNumber() {
    List<Integer> numbers = allEvents().stream().map(LogEvent::number).sorted().toList();

    assertEquals(numbers, numbers.stream().distinct().toList());
  }
}
