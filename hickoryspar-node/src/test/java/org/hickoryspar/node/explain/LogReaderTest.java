package org.hickoryspar.node.explain;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LogReaderTest {

  private static final String LINE =
      "{\"time\":\"2026-05-23T12:57:50.729Z\",\"level\":\"INFO\",\"instance\":\"core-1\","
          + "\"event\":5106,\"name\":\"TASK_ENDED\",\"subject\":\"a1.0.0.0#1\",\"cause\":\"DONE\"}";

  @DataProvider
  Object[][] invalidLines() {
    return new Object[][] {
      {""},
      {"no braces"},
      {LINE.substring(0, 60)},
      {"{\"time\":\"yesterday\"}"},
      {"{\"event\":5106}"},
      {"{\"time\":17}"},
      {"{}"},
      {"{]"}
    };
  }

  /** Guards against a reader that stops at a truncated line or at other output in the log. */
  @Test(dataProvider = "invalidLines")
  void shouldSkipInvalidLines(String line) throws Exception {
    Path file = Files.createTempFile("log", ".jsonl");
    Files.write(file, List.of(LINE, line, LINE));
    List<LogLine> read = new ArrayList<>();
    LogReader reader = new LogReader();

    reader.read(file, read::add);

    Files.delete(file);
    assertEquals(read.size(), 2);
    assertEquals(reader.skipped(), 1);
  }

  /** Guards against inputs of a decision that are lost if a collector prepends text to the line. */
  @Test
  void shouldKeepAllDetailsWhenCollectorAddsPrefix() {
    LogLine line = new LogReader().parse("12.345 s core-1 " + LINE).orElseThrow();

    assertEquals(line.event(), 5106);
    assertEquals(line.subject(), "a1.0.0.0#1");
    assertEquals(line.details(), Map.of("level", "INFO", "cause", "DONE"));
  }
}
