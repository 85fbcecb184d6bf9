package org.hickoryspar.node.explain;

import static java.util.Objects.requireNonNull;

import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One line of a log.
 *
 * @param time when it was written, by the clock of its instance
 * @param instance the instance that wrote it
 * @param event number of the event, 0 for a line without one
 * @param name name of the event, empty for a line that holds a message only
 * @param subject the request, run or minion that the line concerns, empty for none
 * @param details what the decision rests on, in the order of the line; a message under the name
 *     {@code message}
 */
public record LogLine(
    Instant time,
    String instance,
    int event,
    String name,
    String subject,
    Map<String, String> details) {

  /** Checks and copies the components. */
  public LogLine {
    requireNonNull(time, "time is null");
    requireNonNull(instance, "instance is null");
    requireNonNull(name, "name is null");
    requireNonNull(subject, "subject is null");
    details = Collections.unmodifiableMap(new LinkedHashMap<>(details));
  }

  /**
   * Returns a detail.
   *
   * @param detail its name
   * @return its value, empty if the line has none
   */
  public String detail(String detail) {
    return details.getOrDefault(requireNonNull(detail, "detail is null"), "");
  }
}
