package org.hickoryspar.kernel.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.kernel.fleet.MergePatch;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.ChangeRecord;
import org.hickoryspar.protocol.FleetChange;
import org.hickoryspar.protocol.FleetDelta;
import org.hickoryspar.protocol.FleetHistoryEntry;

/** The fleet configuration in force, its history and the identifiers of accepted changes. */
final class FleetState {

  static final int MAX_HISTORY_ENTRIES = 1_000;

  /** One change may replace a large part of the document. Half of a frame between processes. */
  static final long MAX_HISTORY_BYTES = 2L << 20;

  /** Covers about four days at 2,400 changes a day; clients resend a change within minutes. */
  static final int MAX_CHANGE_IDS = 10_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonNode document = JsonNodeFactory.instance.objectNode();
  private long version;
  private final Deque<FleetHistoryEntry> history = new ArrayDeque<>();
  private long historyBytes;
  private final LinkedHashMap<String, Long> versionByChangeId = new LinkedHashMap<>();

  synchronized CommandResult apply(FleetChange change, long nowMillis) {
    Long acceptedVersion = versionByChangeId.get(change.getChangeId());
    if (acceptedVersion != null) {
      return new CommandResult.FleetAccepted(acceptedVersion);
    }
    if (change.getBaseVersion() != version) {
      FleetHistoryEntry last = history.peekLast();
      return last == null
          ? new CommandResult.FleetConflict(version, "", 0)
          : new CommandResult.FleetConflict(
              version, last.getChange().getOwner(), last.getTimeMillis());
    }
    JsonNode patch;
    try {
      patch = MAPPER.readTree(change.getMergePatchJson().toByteArray());
    } catch (IOException e) {
      return new CommandResult.Refused(
          Problem.of("malformed", "the merge patch is not valid JSON"));
    }
    document = MergePatch.apply(document, patch);
    version++;
    recordChange(change, nowMillis);
    return new CommandResult.FleetAccepted(version);
  }

  private void recordChange(FleetChange change, long nowMillis) {
    versionByChangeId.put(change.getChangeId(), version);
    if (versionByChangeId.size() > MAX_CHANGE_IDS) {
      Iterator<String> changeIds = versionByChangeId.keySet().iterator();
      changeIds.next();
      changeIds.remove();
    }
    addToHistory(
        FleetHistoryEntry.newBuilder()
            .setVersion(version)
            .setChange(change)
            .setTimeMillis(nowMillis)
            .build());
  }

  // Keeps the latest change, whatever its size, because a conflict names it.
  private void addToHistory(FleetHistoryEntry entry) {
    history.add(entry);
    historyBytes += entry.getSerializedSize();
    while (history.size() > MAX_HISTORY_ENTRIES
        || (historyBytes > MAX_HISTORY_BYTES && history.size() > 1)) {
      historyBytes -= history.remove().getSerializedSize();
    }
  }

  synchronized long version() {
    return version;
  }

  /** Returns the data centres of the current version; the node must not be modified. */
  synchronized JsonNode dataCentres() {
    return document.path("dataCentres");
  }

  synchronized ControlState.FleetVersion current() {
    return new ControlState.FleetVersion(version, document.deepCopy());
  }

  synchronized Optional<Long> versionOfChange(String changeId) {
    return Optional.ofNullable(versionByChangeId.get(changeId));
  }

  synchronized List<FleetHistoryEntry> history() {
    return new ArrayList<>(history);
  }

  /** Returns the changes after a version, or empty if the history does not contain them all. */
  synchronized Optional<List<FleetDelta>> deltasAfter(long since) {
    FleetHistoryEntry first = history.peekFirst();
    if (since > version || (since < version && (first == null || first.getVersion() > since + 1))) {
      return Optional.empty();
    }
    List<FleetDelta> deltas = new ArrayList<>();
    for (FleetHistoryEntry entry : history) {
      if (entry.getVersion() > since) {
        deltas.add(
            FleetDelta.newBuilder()
                .setVersion(entry.getVersion())
                .setMergePatchJson(entry.getChange().getMergePatchJson())
                .build());
      }
    }
    return Optional.of(deltas);
  }

  synchronized ByteString documentJson() {
    try {
      return ByteString.copyFrom(MAPPER.writeValueAsBytes(document));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  synchronized List<ChangeRecord> changes() {
    List<ChangeRecord> records = new ArrayList<>(versionByChangeId.size());
    versionByChangeId.forEach(
        (id, changeVersion) ->
            records.add(
                ChangeRecord.newBuilder().setChangeId(id).setVersion(changeVersion).build()));
    return records;
  }

  synchronized void restore(
      long newVersion,
      ByteString documentJson,
      List<FleetHistoryEntry> entries,
      List<ChangeRecord> changes) {
    try {
      document =
          documentJson.isEmpty()
              ? JsonNodeFactory.instance.objectNode()
              : MAPPER.readTree(documentJson.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    version = newVersion;
    history.clear();
    historyBytes = 0;
    entries.forEach(this::addToHistory);
    versionByChangeId.clear();
    Map<String, Long> restored = versionByChangeId;
    for (ChangeRecord change : changes) {
      restored.put(change.getChangeId(), change.getVersion());
    }
  }
}
