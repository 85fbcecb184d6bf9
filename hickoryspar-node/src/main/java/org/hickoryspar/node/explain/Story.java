package org.hickoryspar.node.explain;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What the logs say of one identifier, by time. Beside the lines about it and its tasks, the story
 * holds what happened meanwhile to the minions that ran them, and changes of the leader.
 */
public final class Story {

  /** Events of minions are told if they happened this long before the story or later. */
  private static final long BEFORE_MILLIS = 10_000;

  private static final Set<String> MINION_EVENTS =
      Set.of(
          "MINION_SUSPECTED",
          "MINION_RETURNED",
          "MINION_ISOLATED",
          "MINION_DRAINING",
          "MINION_GONE");

  /** Numbers of the lines that tell of a change of the leader. */
  private static final Set<Integer> LEADER_EVENTS = Set.of(5001, 5002);

  private final String id;
  private final List<LogLine> own = new ArrayList<>();
  private final List<LogLine> ofMinions = new ArrayList<>();
  private final List<LogLine> ofLeaders = new ArrayList<>();

  /**
   * Creates an empty story.
   *
   * @param id a workflow, a task, a run or a minion
   */
  public Story(String id) {
    this.id = requireNonNull(id, "id is null");
  }

  /**
   * Takes in a line if it may belong to the story.
   *
   * @param line a line of any log
   */
  public void add(LogLine line) {
    requireNonNull(line, "line is null");
    if (concerns(line)) {
      own.add(line);
    } else if (MINION_EVENTS.contains(line.name())) {
      ofMinions.add(line);
    } else if (LEADER_EVENTS.contains(line.event())) {
      ofLeaders.add(line);
    }
  }

  private boolean concerns(LogLine line) {
    String subject = line.subject();
    return subject.equals(id)
        || subject.startsWith(id + '.')
        || subject.startsWith(id + '#')
        || line.detail("for").equals(id);
  }

  /**
   * Tells the story, one sentence a line.
   *
   * @param onSentence is given each sentence
   * @return the number of lines about the identifier itself
   */
  public int tell(Consumer<String> onSentence) {
    requireNonNull(onSentence, "onSentence is null");
    if (own.isEmpty()) {
      return 0;
    }
    own.sort(Comparator.comparing(LogLine::time));
    LogLine first = own.get(0);
    LogLine last = own.get(own.size() - 1);
    Set<String> minions = minions();
    List<LogLine> all = new ArrayList<>(own);
    ofMinions.stream()
        .filter(line -> minions.contains(line.subject()))
        .filter(line -> !line.time().isBefore(first.time().minusMillis(BEFORE_MILLIS)))
        .filter(line -> !line.time().isAfter(last.time()))
        .forEach(all::add);
    ofLeaders.stream()
        .filter(line -> !line.time().isBefore(first.time()) && !line.time().isAfter(last.time()))
        .forEach(all::add);
    all.sort(Comparator.comparing(LogLine::time));
    all.forEach(line -> onSentence.accept(sentence(line)));
    return own.size();
  }

  private Set<String> minions() {
    Set<String> minions = new HashSet<>();
    for (LogLine line : own) {
      minions.add(line.detail("minion"));
      String listed = line.detail("minions").replaceAll("[\\[\\] ]", "");
      minions.addAll(List.of(listed.split(",")));
    }
    return minions;
  }

  private static String sentence(LogLine line) {
    String subject = line.subject().isEmpty() ? "" : line.subject() + ": ";
    return "%s %s [%d] %s%s"
        .formatted(line.time(), line.instance(), line.event(), subject, Sentences.tell(line));
  }
}
