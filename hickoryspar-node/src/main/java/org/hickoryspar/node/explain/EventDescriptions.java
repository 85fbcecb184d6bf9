package org.hickoryspar.node.explain;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Describes log lines in words; names in braces are replaced by details of the line. */
final class EventDescriptions {

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{(\\w+)}");

  private static final Map<String, String> TEMPLATES = new TreeMap<>();

  static {
    TEMPLATES.put(
        "CALL_ENDED",
        "the {kind} call ended with {outcome} after {tookMillis} ms and {attempts} attempt(s), the"
            + " last to {leader} in term {term} [{reason}] [earlier: {lastProblem}]");
    TEMPLATES.put(
        "CALL_REFUSED", "the call was refused: {reason} (catalog version {catalogVersion})");
    TEMPLATES.put(
        "WORKFLOW_ACCEPTED",
        "accepted for team {team} into queue {queue} of priority {priority}: {steps} step(s),"
            + " {tasks} task(s), {occurrences} occurrence(s), catalog version {catalogVersion}");
    TEMPLATES.put("WORKFLOW_REFUSED", "refused and will never run: {reason}");
    TEMPLATES.put("WORKFLOW_CANCELLED", "cancelled by the caller");
    TEMPLATES.put(
        "WORKFLOW_ENDED", "ended as {state} after {tookMillis} ms with {failedRuns} failed run(s)");
    TEMPLATES.put(
        "GROUP_WAITS",
        "has waited for {waitedMillis} ms: {reason}; {tasks} task(s) of {demand}, {suitableMinions}"
            + " suitable minion(s), resources expected in {expectedInMillis} ms; beside idle"
            + " capacity for {idleCapacityMillis} ms [{obstacle}]; ordered {order}");
    TEMPLATES.put(
        "OVERLOAD_ENTERED",
        "the work of the service needs {pressurePercent}% of the room until it is due, in"
            + " {waitingSteps} waiting step(s): from now on the shares of the teams order it");
    TEMPLATES.put(
        "OVERLOAD_LEFT",
        "the work of the service fits again after {lastedMillis} ms: it needs {pressurePercent}% of"
            + " the room, at most {highestPercent}% meanwhile");
    TEMPLATES.put(
        "AHEAD_OF_TURN",
        "goes ahead of its turn, as the oldest work of team {team} that has waited for more than"
            + " {maxWaitMillis} ms in an overloaded service");
    TEMPLATES.put(
        "PREFERENCES_DROPPED",
        "starts on capacity that has been idle for {idleCapacityMillis} ms and was avoided until"
            + " now: {obstacle}; {reason}");
    TEMPLATES.put(
        "RUN_PLACED", "{tasks} task(s) placed on {minions} after waiting for {waitedMillis} ms");
    TEMPLATES.put("RUN_REFUSED", "the start was neither recorded nor sent: {reason}");
    TEMPLATES.put("START_REJECTED", "minion {minion} rejected the start: {outcome}");
    TEMPLATES.put(
        "START_GIVEN_UP",
        "minion {minion} did not respond to {starts} starts within {sinceMillis} ms; the run of"
            + " {members} member(s) is being stopped, and the minion avoided for {avoidedMillis}"
            + " ms");
    TEMPLATES.put("RUN_STOPPING", "is being stopped: {because}");
    TEMPLATES.put(
        "RUN_PREEMPTED",
        "is being preempted for {for} after {workedMillis} ms of work (checkpointing:"
            + " {checkpointing})");
    TEMPLATES.put(
        "RUN_MOVED",
        "is being moved off the slow minion(s) {slowMinions}: {remainingMillis} ms of work remain"
            + " there, the whole run takes {elsewhereMillis} ms elsewhere; {workedMillis} ms of"
            + " work of {members} member(s) are given up");
    TEMPLATES.put(
        "TASK_ENDED",
        "ended on {minion} with {cause} at {percent} percent after {ranMillis} ms, expected"
            + " {expectedMillis} ms");
    TEMPLATES.put(
        "RUN_OVER", "all {members} members have ended (done: {done}, failed runs: {failures})");
    TEMPLATES.put(
        "TASK_LOST",
        "was lost on {minion} at {percent} percent: {reason} (start confirmed: {confirmed})");
    TEMPLATES.put("STRAY_TASK", "runs on {minion} without a record and is being stopped");
    TEMPLATES.put(
        "MINION_SUSPECTED", "the minion has not responded for {silentMillis} ms: {outcome}");
    TEMPLATES.put("MINION_RETURNED", "the minion responds again after {silentMillis} ms");
    TEMPLATES.put(
        "MINION_ISOLATED",
        "the minion is isolated for {forMillis} ms after a failure: {lastFailure}");
    TEMPLATES.put(
        "MINION_PACE_CHANGED",
        "the pace of the minion is {pace} now: {slowdownPercent} percent of the usual time");
    TEMPLATES.put("MINION_DRAINING", "the minion is draining, {remainingMillis} ms remain");
    TEMPLATES.put(
        "MINION_LEAVING",
        "the life of the minion that started at {bornMillis} says that it ends now (known life:"
            + " {knownBornMillis}, draining: {draining})");
    TEMPLATES.put("MINION_STAYED", "the minion responds after its announced end");
    TEMPLATES.put(
        "MINION_PROVISIONAL",
        "the current state of the minion is unknown, it is known from a {source} only");
    TEMPLATES.put("MINION_CONFIRMED", "the minion has reported its current state");
    TEMPLATES.put(
        "LIFE_UNPROVEN",
        "a report names a later life of the minion, started at {bornMillis}, at {address}; it"
            + " replaces nothing until it responds there");
    TEMPLATES.put(
        "LIFE_REFUTED",
        "the life that was reported as started at {bornMillis} is not at {address}: {because}");
    TEMPLATES.put(
        "REPORT_IGNORED",
        "a report with the address {address} is ignored: no catalog names its service {service}");
    TEMPLATES.put("MINION_GONE", "the minion, started at {bornMillis}, has ended");
  }

  /** Describes a wait for the quota of a team, for which no minions are looked for. */
  private static final String QUOTA_WAIT_TEMPLATE =
      "has waited for {waitedMillis} ms for the quota of its team: {reason}; {tasks} task(s) of"
          + " {demand}";

  private EventDescriptions() {}

  /** Returns whether there is a template for an event. */
  static boolean hasTemplate(String name) {
    return TEMPLATES.containsKey(name);
  }

  static String describe(LogLine line) {
    String template = isQuotaWait(line) ? QUOTA_WAIT_TEMPLATE : TEMPLATES.get(line.name());
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

  private static boolean isQuotaWait(LogLine line) {
    return line.name().equals("GROUP_WAITS") && line.detail("suitableMinions").equals("-1");
  }
}
