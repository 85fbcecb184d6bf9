package org.hickoryspar.node.explain;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Tells a log line in a sentence; names in braces stand for details of the line. */
final class Sentences {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{(\\w+)}");

  private static final Map<String, String> BY_NAME = new TreeMap<>();

  static {
    BY_NAME.put(
        "CALL_ENDED",
        "the {kind} was answered {outcome} after {tookMillis} ms and {attempts} attempt(s), the"
            + " last one to {leader} of term {term} [{reason}] [earlier: {lastProblem}]");
    BY_NAME.put(
        "CALL_REFUSED",
        "the call was refused: {reason}, under version {catalogVersion} of the catalog");
    BY_NAME.put(
        "WORKFLOW_ACCEPTED",
        "accepted for team {team} into queue {queue} of priority {priority}: {steps} step(s),"
            + " {tasks} task(s), {occurrences} occurrence(s), catalog version {catalogVersion}");
    BY_NAME.put("WORKFLOW_REFUSED", "refused, it never runs: {reason}");
    BY_NAME.put("WORKFLOW_CANCELLED", "cancelled by the caller");
    BY_NAME.put(
        "WORKFLOW_ENDED", "ended as {state} after {tookMillis} ms; {failedRuns} run(s) had failed");
    BY_NAME.put(
        "GROUP_WAITS",
        "waits for {waitedMillis} ms: {reason}; {tasks} task(s) of {demand}, {suitableMinions}"
            + " minion(s) suit, room is expected in {expectedInMillis} ms");
    BY_NAME.put(
        "RUN_PLACED", "{tasks} task(s) placed after waiting {waitedMillis} ms, on {minions}");
    BY_NAME.put("RUN_REFUSED", "the start was not recorded and not sent: {reason}");
    BY_NAME.put("START_REJECTED", "minion {minion} rejected the start: {outcome}");
    BY_NAME.put("RUN_STOPPING", "is being stopped because: {because}");
    BY_NAME.put(
        "RUN_PREEMPTED",
        "is being stopped to make room for {for}, after {workedMillis} ms of work (checkpointing:"
            + " {checkpointing})");
    BY_NAME.put("TASK_ENDED", "ended on {minion}: {cause}, at {percent} percent");
    BY_NAME.put(
        "RUN_OVER", "all {members} members have ended (done: {done}, failed runs: {failures})");
    BY_NAME.put(
        "TASK_LOST",
        "counts as lost on {minion} at {percent} percent: {reason} (start confirmed: {confirmed})");
    BY_NAME.put("STRAY_TASK", "runs on {minion} without a record and is stopped");
    BY_NAME.put("MINION_SUSPECTED", "the minion does not answer for {silentMillis} ms: {outcome}");
    BY_NAME.put("MINION_RETURNED", "the minion answers again after {silentMillis} ms");
    BY_NAME.put("MINION_ISOLATED", "the minion gets no work for {forMillis} ms: {lastFailure}");
    BY_NAME.put("MINION_DRAINING", "the minion drains, {remainingMillis} ms remain");
    BY_NAME.put("MINION_GONE", "the minion, born at {bornMillis}, has ended");
  }

  private Sentences() {}

  /** Returns whether lines of an event are told in words of their own. */
  static boolean knows(String name) {
    return BY_NAME.containsKey(name);
  }

  static String tell(LogLine line) {
    String template = BY_NAME.get(line.name());
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
