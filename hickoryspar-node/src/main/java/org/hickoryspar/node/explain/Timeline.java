package org.hickoryspar.node.explain;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The log lines about one workflow, task, run or minion in the order of time. Besides the lines
 * about the subject and its tasks, a timeline holds the events of the minions that ran the tasks,
 * and the changes of the leader, from the same period. Not thread-safe.
 */
public final class Timeline {

  /** Events of minions are included from this long before the first line about the subject. */
  private static final long MINION_EVENT_LEAD_MILLIS = 10_000;

  private static final Set<String> MINION_EVENTS =
      Set.of(
          "MINION_SUSPECTED",
          "MINION_RETURNED",
          "MINION_ISOLATED",
          "MINION_PACE_CHANGED",
          "MINION_DRAINING",
          "MINION_GONE");

  /** Numbers of the events that report a change of the leader. */
  private static final Set<Integer> LEADER_EVENTS = Set.of(5001, 5002);

  private final String subjectId;
  private final List<LogLine> subjectLines = new ArrayList<>();
  private final List<LogLine> minionLines = new ArrayList<>();
  private final List<LogLine> leaderLines = new ArrayList<>();

  /**
   * Creates an empty timeline.
   *
   * @param subjectId identifier of a workflow, a task, a run or a minion
   */
  public Timeline(String subjectId) {
    this.subjectId = requireNonNull(subjectId, "subjectId is null");
  }

  /**
   * Adds a line if it may belong to the timeline; ignores others.
   *
   * @param line a line of any log
   */
  public void add(LogLine line) {
    requireNonNull(line, "line is null");
    if (isAboutSubject(line)) {
      subjectLines.add(line);
    } else if (MINION_EVENTS.contains(line.name())) {
      minionLines.add(line);
    } else if (LEADER_EVENTS.contains(line.event())) {
      leaderLines.add(line);
    }
  }

  private boolean isAboutSubject(LogLine line) {
    String subject = line.subject();
    return subject.equals(subjectId)
        || subject.startsWith(subjectId + '.')
        || subject.startsWith(subjectId + '#')
        || line.detail("for").equals(subjectId);
  }

  /**
   * Writes the timeline, one event a line; writes nothing if no line is about the subject.
   *
   * @param output receives each line
   * @return the number of lines about the subject and its tasks
   */
  public int writeTo(Consumer<String> output) {
    requireNonNull(output, "output is null");
    if (subjectLines.isEmpty()) {
      return 0;
    }
    subjectLines.sort(Comparator.comparing(LogLine::time));
    LogLine first = subjectLines.get(0);
    LogLine last = subjectLines.get(subjectLines.size() - 1);
    Set<String> minionIds = minionIds();
    List<LogLine> merged = new ArrayList<>(subjectLines);
    minionLines.stream()
        .filter(line -> minionIds.contains(line.subject()))
        .filter(line -> !line.time().isBefore(first.time().minusMillis(MINION_EVENT_LEAD_MILLIS)))
        .filter(line -> !line.time().isAfter(last.time()))
        .forEach(merged::add);
    leaderLines.stream()
        .filter(line -> !line.time().isBefore(first.time()) && !line.time().isAfter(last.time()))
        .forEach(merged::add);
    merged.sort(Comparator.comparing(LogLine::time));
    merged.forEach(line -> output.accept(format(line)));
    return subjectLines.size();
  }

  private Set<String> minionIds() {
    Set<String> ids = new HashSet<>();
    for (LogLine line : subjectLines) {
      ids.add(line.detail("minion"));
      String listed = line.detail("minions").replaceAll("[\\[\\] ]", "");
      ids.addAll(List.of(listed.split(",")));
    }
    return ids;
  }

  private static String format(LogLine line) {
    String subject = line.subject().isEmpty() ? "" : line.subject() + ": ";
    return "%s %s [%d] %s%s"
        .formatted(
            line.time(), line.instance(), line.event(), subject, EventDescriptions.describe(line));
  }
}
