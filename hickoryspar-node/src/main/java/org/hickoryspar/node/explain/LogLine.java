package org.hickoryspar.node.explain;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of a log.
 *
 * @param time time of writing, by the clock of the instance
 * @param instance identifier of the instance that wrote the line
 * @param event number of the event, 0 for a line without one
 * @param name name of the event, empty for a line with only a message
 * @param subject identifier of the workflow, run or minion that the line concerns, empty for none
 * @param details the other members in the order of the line: the inputs of a decision, or a message
 *     under the name {@code message}
 */
public record LogLine(
    Instant time,
    String instance,
    int event,
    String name,
    String subject,
    Map<String, String> details) {

  /** Rejects null components with a {@link NullPointerException}; copies the details. */
  public LogLine {
    requireNonNull(time, "time is null");
    requireNonNull(instance, "instance is null");
    requireNonNull(name, "name is null");
    requireNonNull(subject, "subject is null");
    details = Collections.unmodifiableMap(new LinkedHashMap<>(details));
  }

  /**
   * Returns the value of a detail.
   *
   * @param detail name of the detail
   * @return the value, empty if the line does not have the detail
   */
  public String detail(String detail) {
    return details.getOrDefault(requireNonNull(detail, "detail is null"), "");
  }
}
