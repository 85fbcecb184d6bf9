package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Ascii;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Prints results as text for operators or as JSON for scripts. */
final class Output {

  /** Longer values are truncated in text; {@code --output json} prints them in full. */
  private static final int MAX_CELL_LENGTH = 72;

  /** Members in milliseconds above this value (the year 2001) are times, others are durations. */
  private static final long MIN_TIME_MILLIS = 1_000_000_000_000L;

  private final PrintStream out;
  private final boolean json;

  /**
   * Creates an output.
   *
   * @param out receives the text
   * @param json true for JSON, false for text
   */
  Output(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  boolean isJson() {
    return json;
  }

  /** Prints one line of text; prints nothing if the format is JSON. */
  void printLine(String text) {
    if (!json) {
      out.println(text);
    }
  }

  /** Prints an object as JSON, or its members as lines and arrays of objects as tables. */
  void print(JsonNode node) {
    if (json || !node.isObject()) {
      out.println(node.toPrettyString());
      return;
    }
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      if (!isTable(entry.getValue())) {
        out.println(entry.getKey() + ": " + formatCell(entry.getKey(), entry.getValue()));
      }
    }
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      if (isTable(entry.getValue())) {
        out.println();
        out.println(entry.getKey() + ":");
        printTable(entry.getValue());
      }
    }
  }

  /** Prints rows as JSON, or as a table with one column per member. */
  void print(String name, JsonNode rows) {
    if (json) {
      out.println(rows.toPrettyString());
    } else if (rows.isEmpty()) {
      out.println("no " + name);
    } else {
      printTable(rows);
    }
  }

  private static boolean isTable(JsonNode node) {
    return node.isArray() && !node.isEmpty() && node.get(0).isObject();
  }

  private void printTable(JsonNode rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> lines = new ArrayList<>();
    lines.add(List.copyOf(columns));
    for (JsonNode row : rows) {
      lines.add(columns.stream().map(column -> formatCell(column, row.path(column))).toList());
    }
    int[] widths = new int[columns.size()];
    for (List<String> line : lines) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], line.get(i).length());
      }
    }
    for (List<String> line : lines) {
      StringBuilder text = new StringBuilder(" ");
      for (int i = 0; i < widths.length; i++) {
        text.append(' ').append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length()));
      }
      out.println(text.toString().stripTrailing());
    }
  }

  private static String formatCell(String name, JsonNode node) {
    if (name.endsWith("Millis") && node.asLong() > MIN_TIME_MILLIS) {
      return formatTime(node);
    }
    if (node.isMissingNode() || node.isNull()) {
      return "-";
    }
    if (node.isArray()) {
      return Ascii.truncate(formatArray(node), MAX_CELL_LENGTH, "...");
    }
    return Ascii.truncate(
        node.isValueNode() ? node.asText() : node.toString(), MAX_CELL_LENGTH, "...");
  }

  /** Lists equal elements once, with their count. */
  private static String formatArray(JsonNode array) {
    Map<String, Integer> counts = new LinkedHashMap<>();
    array.forEach(
        element ->
            counts.merge(
                element.isValueNode() ? element.asText() : element.toString(), 1, Integer::sum));
    List<String> parts = new ArrayList<>();
    counts.forEach((text, count) -> parts.add(count == 1 ? text : text + " x" + count));
    return parts.isEmpty() ? "-" : String.join(", ", parts);
  }

  /** Formats milliseconds since the epoch in UTC. */
  static String formatTime(JsonNode millis) {
    return millis.isIntegralNumber() ? Instant.ofEpochMilli(millis.asLong()).toString() : "?";
  }
}
