package org.hickoryspar.node.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class TimelineTest {

  private static final Instant START = Instant.parse("2026-05-23T12:00:00Z");

  private static LogLine line(int atSecond, String name, String subject, String... details) {
    Map<String, String> detailMap = new LinkedHashMap<>();
    for (int i = 0; i < details.length; i += 2) {
      detailMap.put(details[i], details[i + 1]);
    }
    return new LogLine(START.plusSeconds(atSecond), "core-1", 5100, name, subject, detailMap);
  }

  private static List<String> write(Timeline timeline) {
    List<String> lines = new ArrayList<>();
    timeline.writeTo(lines::add);
    return lines;
  }

  /** Guards against a timeline in the order of the files instead of the order of time. */
  @Test
  void shouldMergeLinesOfSeveralProcessesByTime() {
    Timeline timeline = new Timeline("a1");
    timeline.add(line(9, "WORKFLOW_ENDED", "a1", "state", "WORKFLOW_COMPLETED"));
    timeline.add(line(1, "CALL_ENDED", "a1", "outcome", "OK"));
    timeline.add(line(5, "RUN_PLACED", "a1.0.0.0#1", "minions", "[m1, m2]"));

    List<String> lines = write(timeline);

    assertEquals(lines.size(), 3);
    assertTrue(lines.get(0).contains("call ended with OK"), lines.get(0));
    assertTrue(lines.get(2).contains("ended as WORKFLOW_COMPLETED"), lines.get(2));
  }

  /** Guards against an explanation that blames the minions for a wait for the quota of a team. */
  @Test
  void shouldExplainThatAGroupWaitsForTheQuotaOfItsTeam() {
    Timeline timeline = new Timeline("a1");
    String reason = "team t has 8 of its quota of 8 accelerators in use and demands 1 more";
    timeline.add(line(1, "GROUP_WAITS", "a1.0.0.0#1", "reason", reason, "suitableMinions", "-1"));

    String sentence = write(timeline).get(0);

    assertTrue(sentence.contains("for the quota of its team: " + reason), sentence);
    assertFalse(sentence.contains("suitable"), sentence);
  }

  /** Guards against a missing cause: a task is lost because its minion no longer responds. */
  @Test
  void shouldIncludeEventsOfOwnMinionsOnly() {
    Timeline timeline = new Timeline("a1");
    timeline.add(line(1, "RUN_PLACED", "a1.0.0.0#1", "minions", "[m1, m2]"));
    timeline.add(line(2, "MINION_SUSPECTED", "m2", "silentMillis", "900"));
    timeline.add(line(2, "MINION_SUSPECTED", "m3", "silentMillis", "900"));
    timeline.add(line(8, "TASK_LOST", "a1.0.0.0#1", "minion", "m2"));

    List<String> lines = write(timeline);

    assertEquals(lines.size(), 3);
    assertTrue(lines.get(1).contains("m2: the minion has not responded"), lines.get(1));
  }

  /** Guards against confusing an identifier with a longer one that begins with it. */
  @Test
  void shouldExcludeIdentifiersThatOnlyShareAPrefix() {
    Timeline timeline = new Timeline("a1");
    timeline.add(line(1, "WORKFLOW_ENDED", "a12"));
    timeline.add(line(1, "RUN_PLACED", "a12.0.0.0#1"));

    assertEquals(write(timeline), List.of());
  }

  /** Guards against placeholders in the description of a line that lacks a detail. */
  @Test
  void shouldOmitPlaceholdersWhenDetailsAreMissing() {
    String description =
        EventDescriptions.describe(line(1, "CALL_ENDED", "a1", "kind", "submit", "outcome", "OK"));

    assertEquals(Arrays.stream(description.split("[{}\\[\\]]")).count(), 1, description);
  }
}
