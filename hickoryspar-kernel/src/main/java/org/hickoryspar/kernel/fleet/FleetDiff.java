package org.hickoryspar.kernel.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Describes the differences between two documents in human-readable lines. */
final class FleetDiff {

  private final List<String> lines = new ArrayList<>();

  private FleetDiff() {}

  static List<String> lines(JsonNode before, JsonNode after) {
    FleetDiff diff = new FleetDiff();
    diff.compare("", before, after);
    return diff.lines;
  }

  private void compare(String path, @Nullable JsonNode before, @Nullable JsonNode after) {
    if (before == null && after != null) {
      lines.add("+ " + path + ": " + after);
    } else if (before != null && after == null) {
      lines.add("- " + path + ": " + before);
    } else if (before != null && after != null && !MergePatch.equalByValue(before, after)) {
      if (before.isContainerNode() && after.isContainerNode()) {
        compareMembers(path, before, after);
      } else {
        lines.add("~ " + path + ": " + before + " -> " + after);
      }
    }
  }

  private void compareMembers(String path, JsonNode before, JsonNode after) {
    int linesBefore = lines.size();
    Map<String, JsonNode> membersBefore = members(path, before);
    Map<String, JsonNode> membersAfter = members(path, after);
    Map<String, JsonNode> allMembers = new TreeMap<>(membersBefore);
    allMembers.putAll(membersAfter);
    for (String key : allMembers.keySet()) {
      compare(key, membersBefore.get(key), membersAfter.get(key));
    }
    if (lines.size() == linesBefore) {
      lines.add("~ " + path + ": order changed");
    }
  }

  /** Returns the members by path; array elements are identified by name, else by index. */
  private static Map<String, JsonNode> members(String path, JsonNode node) {
    Map<String, JsonNode> result = new TreeMap<>();
    if (node.isObject()) {
      String prefix = path.isEmpty() ? "" : path + ".";
      node.properties().forEach(entry -> result.put(prefix + entry.getKey(), entry.getValue()));
      return result;
    }
    for (int i = 0; i < node.size(); i++) {
      String key = node.get(i).path("name").asText(Integer.toString(i));
      result.put(path + "[" + key + "]", node.get(i));
    }
    return result;
  }
}
