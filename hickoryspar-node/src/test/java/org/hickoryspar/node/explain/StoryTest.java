package org.hickoryspar.node.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public class StoryTest {

  private static final Instant START = Instant.parse("2026-05-23T12:00:00Z");

  private static LogLine line(int atSecond, String name, String subject, String... details) {
    Map<String, String> map = new LinkedHashMap<>();
    for (int i = 0; i < details.length; i += 2) {
      map.put(details[i], details[i + 1]);
    }
    return new LogLine(START.plusSeconds(atSecond), "core-1", 5100, name, subject, map);
  }

  private static List<String> tell(Story story) {
    List<String> sentences = new ArrayList<>();
    story.tell(sentences::add);
    return sentences;
  }

  /** Guards against a story in the order of the files instead of the order of events. */
  @Test
  void shouldMergeLinesOfSeveralProcessesByTime() {
    Story story = new Story("a1");
    story.add(line(9, "WORKFLOW_ENDED", "a1", "state", "WORKFLOW_COMPLETED"));
    story.add(line(1, "CALL_ENDED", "a1", "outcome", "OK"));
    story.add(line(5, "RUN_PLACED", "a1.0.0.0#1", "minions", "[m1, m2]"));

    List<String> sentences = tell(story);

    assertEquals(sentences.size(), 3);
    assertTrue(sentences.get(0).contains("was answered OK"), sentences.get(0));
    assertTrue(sentences.get(2).contains("ended as WORKFLOW_COMPLETED"), sentences.get(2));
  }

  /** Guards against a cause that only the log of a minion's loss shows. */
  @Test
  void shouldTellWhatHappenedToItsMinionsAndNotToOthers() {
    Story story = new Story("a1");
    story.add(line(1, "RUN_PLACED", "a1.0.0.0#1", "minions", "[m1, m2]"));
    story.add(line(2, "MINION_SUSPECTED", "m2", "silentMillis", "900"));
    story.add(line(2, "MINION_SUSPECTED", "m3", "silentMillis", "900"));
    story.add(line(8, "TASK_LOST", "a1.0.0.0#1", "minion", "m2"));

    List<String> sentences = tell(story);

    assertEquals(sentences.size(), 3);
    assertTrue(sentences.get(1).contains("m2: the minion does not answer"), sentences.get(1));
  }

  /** Guards against mixing up identifiers of which one begins with the other. */
  @Test
  void shouldNotTakeInIdentifiersThatOnlyBeginAlike() {
    Story story = new Story("a1");
    story.add(line(1, "WORKFLOW_ENDED", "a12"));
    story.add(line(1, "RUN_PLACED", "a12.0.0.0#1"));

    assertEquals(tell(story), List.of());
  }

  /** Guards against placeholders that stay in a sentence when a line lacks a detail. */
  @Test
  void shouldLeaveOutMissingDetails() {
    String sentence =
        Sentences.tell(line(1, "CALL_ENDED", "a1", "kind", "submit", "outcome", "OK"));

    assertEquals(Arrays.stream(sentence.split("[{}\\[\\]]")).count(), 1, sentence);
  }
}
