package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** What happened in a model schedule, with times. */
final class ModelHistory {

  /** Time before the end for which the waits and disturbances of the whole fleet are listed. */
  private static final int CONTEXT_MILLIS = 6_000;

  private static final String SUBMISSION = "submission of ";
  private static final int MAX_WORKFLOW_LINES = 15;
  private static final int MAX_CONTEXT_LINES = 25;

  private final DispatcherHarness harness;
  private final List<Line> lines = new ArrayList<>();
  private int copiedEvents;

  private record Line(long millis, String text, boolean ofModel) {

    @Override
    public String toString() {
      return millis + ": " + text + '\n';
    }
  }

  ModelHistory(DispatcherHarness harness) {
    this.harness = harness;
  }

  /** Records an event of the model. */
  void record(String text) {
    lines.add(new Line(harness.nowMillis(), text, true));
  }

  void recordSubmission(String workflowId) {
    record(SUBMISSION + workflowId);
  }

  /** Copies the latest events of the dispatcher; returns them. */
  List<String> copyEvents() {
    List<String> events = harness.events();
    List<String> latest = List.copyOf(events.subList(copiedEvents, events.size()));
    latest.forEach(text -> lines.add(new Line(harness.nowMillis(), text, false)));
    copiedEvents = events.size();
    return latest;
  }

  /** Returns the last events of a workflow, then those of the fleet. */
  String describe(String workflowId) {
    StringBuilder text = new StringBuilder();
    append(lines.stream().filter(line -> concerns(line, workflowId)), MAX_WORKFLOW_LINES, text);
    text.append("fleet:\n");
    append(lines.stream().filter(this::isContext), MAX_CONTEXT_LINES, text);
    return text.toString();
  }

  private static void append(Stream<Line> selected, int maxLines, StringBuilder text) {
    List<Line> all = selected.toList();
    all.subList(Math.max(0, all.size() - maxLines), all.size()).forEach(text::append);
  }

  private static boolean concerns(Line line, String workflowId) {
    return line.text.contains(' ' + workflowId + '.') || line.text.endsWith(' ' + workflowId);
  }

  private boolean isContext(Line line) {
    return line.millis >= harness.nowMillis() - CONTEXT_MILLIS
        && ((line.ofModel && !line.text.startsWith(SUBMISSION))
            || line.text.startsWith(DispatchEventKind.GROUP_WAITS.name())
            || line.text.startsWith(DispatchEventKind.PREFERENCES_DROPPED.name())
            || line.text.startsWith("MINION"));
  }
}
