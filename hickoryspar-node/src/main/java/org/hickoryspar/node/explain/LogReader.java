package org.hickoryspar.node.explain;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Reads log lines from files. Text before the first brace of a line is ignored, because log
 * collectors prepend a time or a host. Lines that are not log lines are skipped and counted. Not
 * thread-safe.
 */
public final class LogReader {

  private static final Set<String> HEADER_MEMBERS =
      Set.of("time", "instance", "event", "name", "subject");

  private final ObjectMapper mapper = new ObjectMapper();
  private long skipped;

  /** Creates a reader that has skipped no lines. */
  public LogReader() {}

  /**
   * Reads a file.
   *
   * @param file the file
   * @param onLine receives each log line in the order of the file
   * @throws IOException if the file cannot be read
   */
  public void read(Path file, Consumer<LogLine> onLine) throws IOException {
    requireNonNull(onLine, "onLine is null");
    // Decodes any bytes, so that a truncated character does not end the reading with an exception.
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      lines.forEach(
          line -> {
            Optional<LogLine> parsed = parse(line);
            if (parsed.isPresent()) {
              onLine.accept(parsed.get());
            } else {
              skipped++;
            }
          });
    }
  }

  /**
   * Returns the number of lines skipped in all files.
   *
   * @return the number
   */
  public long skipped() {
    return skipped;
  }

  Optional<LogLine> parse(String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode node = mapper.readTree(line.substring(start));
      if (!node.isObject() || !node.path("time").isTextual()) {
        return Optional.empty();
      }
      Map<String, String> details = new LinkedHashMap<>();
      for (Map.Entry<String, JsonNode> field : node.properties()) {
        if (!HEADER_MEMBERS.contains(field.getKey())) {
          details.put(field.getKey(), field.getValue().asText());
        }
      }
      return Optional.of(
          new LogLine(
              Instant.parse(node.path("time").textValue()),
              node.path("instance").asText(),
              node.path("event").asInt(),
              node.path("name").asText(),
              node.path("subject").asText(),
              details));
    } catch (JsonProcessingException | DateTimeException e) {
      return Optional.empty();
    }
  }
}
