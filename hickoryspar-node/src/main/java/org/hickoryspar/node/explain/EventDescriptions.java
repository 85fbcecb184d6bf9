package org.hickoryspar.node.explain;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Tells a log line in a sentence; names in braces stand for details of the line. */
final class EventDescriptions {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{(\\w+)}");

  private static final Map<String, String> TEMPLATES = new TreeMap<>();

  static {
    TEMPLATES.put(
        "CALL_ENDED",
        "the {kind} was answered {outcome} after {tookMillis} ms and {attempts} attempt(s), the"
            + " last one to {leader} of term {term} [{reason}] [earlier: {lastProblem}]");
    TEMPLATES.put(
        "CALL_REFUSED",
        "the call was refused: {reason}, under version {catalogVersion} of the catalog");
    TEMPLATES.put(
        "WORKFLOW_ACCEPTED",
        "accepted for team {team} into queue {queue} of priority {priority}: {steps} step(s),"
            + " {tasks} task(s), {occurrences} occurrence(s), catalog version {catalogVersion}");
    TEMPLATES.put("WORKFLOW_REFUSED", "refused, it never runs: {reason}");
    TEMPLATES.put("WORKFLOW_CANCELLED", "cancelled by the caller");
    TEMPLATES.put(
        "WORKFLOW_ENDED", "ended as {state} after {tookMillis} ms; {failedRuns} run(s) had failed");
    TEMPLATES.put(
        "GROUP_WAITS",
        "waits for {waitedMillis} ms: {reason}; {tasks} task(s) of {demand}, {suitableMinions}"
            + " minion(s) suit, room is expected in {expectedInMillis} ms");
    TEMPLATES.put(
        "RUN_PLACED", "{tasks} task(s) placed after waiting {waitedMillis} ms, on {minions}");
    TEMPLATES.put("RUN_REFUSED", "the start was not recorded and not sent: {reason}");
    TEMPLATES.put("START_REJECTED", "minion {minion} rejected the start: {outcome}");
    TEMPLATES.put("RUN_STOPPING", "is being stopped because: {because}");
    TEMPLATES.put(
        "RUN_PREEMPTED",
        "is being stopped to make room for {for}, after {workedMillis} ms of work (checkpointing:"
            + " {checkpointing})");
    TEMPLATES.put("TASK_ENDED", "ended on {minion}: {cause}, at {percent} percent");
    TEMPLATES.put(
        "RUN_OVER", "all {members} members have ended (done: {done}, failed runs: {failures})");
    TEMPLATES.put(
        "TASK_LOST",
        "counts as lost on {minion} at {percent} percent: {reason} (start confirmed: {confirmed})");
    TEMPLATES.put("STRAY_TASK", "runs on {minion} without a record and is stopped");
    TEMPLATES.put(
        "MINION_SUSPECTED", "the minion does not answer for {silentMillis} ms: {outcome}");
    TEMPLATES.put("MINION_RETURNED", "the minion answers again after {silentMillis} ms");
    TEMPLATES.put("MINION_ISOLATED", "the minion gets no work for {forMillis} ms: {lastFailure}");
    TEMPLATES.put("MINION_DRAINING", "the minion drains, {remainingMillis} ms remain");
    TEMPLATES.put("MINION_GONE", "the minion, born at {bornMillis}, has ended");
  }

  private EventDescriptions() {}

  /** Returns whether lines of an event are told in words of their own. */
  static boolean hasTemplate(String name) {
    return TEMPLATES.containsKey(name);
  }

  static String describe(LogLine line) {
    String template = TEMPLATES.get(line.name());
    if (template == null) {
      return line.name().isEmpty() ? line.detail("message") : line.name() + ' ' + line.details();
    }
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder text = new StringBuilder();
    while (matcher.find()) {
      matcher.appendReplacement(text, Matcher.quoteReplacement(line.detail(matcher.group(1))));
    }
    matcher.appendTail(text);
    return text.toString().replace(" []", "").replace(" [earlier: ]", "");
  }
}
