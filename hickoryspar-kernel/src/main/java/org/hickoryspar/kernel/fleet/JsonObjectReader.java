package org.hickoryspar.kernel.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Reads the members of a JSON object. An invalid member adds a problem with its path to a list and
 * is replaced by a placeholder, so that all problems are found in one pass.
 */
final class JsonObjectReader {

  /** Names appear in paths, URLs and metric labels and must not contain their separators. */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  /** Describes a valid name in problem messages. */
  static final String NAME_RULE = "a name of 1 to 63 letters, digits, '.', '_' and '-'";

  private static final int MAX_EXCERPT_LENGTH = 60;

  private final JsonNode node;
  private final String path;
  private final List<String> problems;
  private final Set<String> knownKeys = new TreeSet<>();

  private JsonObjectReader(JsonNode node, String path, List<String> problems) {
    this.node = node;
    this.path = path;
    this.problems = problems;
  }

  /**
   * Returns a reader for the root of a document.
   *
   * @param node the document
   * @param problems receives the problems of the document
   * @return a reader with the path {@code $}
   */
  static JsonObjectReader root(JsonNode node, List<String> problems) {
    return of(node, "$", problems);
  }

  private static JsonObjectReader of(JsonNode node, String path, List<String> problems) {
    if (!node.isObject()) {
      problems.add(path + ": expected an object, found " + excerpt(node));
      return new JsonObjectReader(JsonNodeFactory.instance.objectNode(), path, problems);
    }
    return new JsonObjectReader(node, path, problems);
  }

  /** Returns whether a text is a valid name. */
  static boolean isName(String text) {
    return NAME.matcher(text).matches();
  }

  /** Adds a problem with the path of a member. */
  void addProblem(String key, String message) {
    problems.add(path + "." + key + ": " + message);
  }

  /** Adds a problem that states the expected and the actual value of a member. */
  private void addMismatch(String key, String expectation, @Nullable JsonNode found) {
    addProblem(
        key, "expected " + expectation + ", found " + (found == null ? "nothing" : excerpt(found)));
  }

  private static String excerpt(JsonNode node) {
    return Ascii.truncate(node.toString(), MAX_EXCERPT_LENGTH, "...");
  }

  private @Nullable JsonNode member(String key) {
    knownKeys.add(key);
    return node.get(key);
  }

  /** Returns whether the member is present. */
  boolean has(String key) {
    knownKeys.add(key);
    return node.has(key);
  }

  /** Returns a member without validation, or null if it is missing. */
  @Nullable JsonNode rawMember(String key) {
    return member(key);
  }

  /** Reads a required object. */
  JsonObjectReader object(String key) {
    JsonNode value = member(key);
    if (value == null) {
      addMismatch(key, "an object", null);
      value = JsonNodeFactory.instance.objectNode();
    }
    return of(value, path + "." + key, problems);
  }

  /** Reads an object that maps names to objects; a missing one is empty. */
  Map<String, JsonObjectReader> objectMap(String key) {
    Map<String, JsonObjectReader> result = new LinkedHashMap<>();
    JsonNode value = member(key);
    if (value == null) {
      return result;
    }
    String memberPath = path + "." + key;
    if (!value.isObject()) {
      addMismatch(key, "an object that maps names to objects", value);
      return result;
    }
    for (Map.Entry<String, JsonNode> entry : value.properties()) {
      String entryPath = memberPath + "." + entry.getKey();
      if (!isName(entry.getKey())) {
        problems.add(entryPath + ": expected " + NAME_RULE);
      }
      result.put(entry.getKey(), of(entry.getValue(), entryPath, problems));
    }
    return result;
  }

  /** Reads an array of objects; a missing one is empty. */
  List<JsonObjectReader> objectList(String key) {
    List<JsonObjectReader> result = new ArrayList<>();
    JsonNode value = member(key);
    if (value == null) {
      return result;
    }
    if (!value.isArray()) {
      addMismatch(key, "an array of objects", value);
      return result;
    }
    for (int i = 0; i < value.size(); i++) {
      result.add(of(value.get(i), path + "." + key + "[" + i + "]", problems));
    }
    return result;
  }

  /** Reads a required whole number within a range, both bounds included. */
  long number(String key, long min, long max) {
    return number(key, min, max, null);
  }

  /**
   * Reads a whole number within a range, both bounds included; a missing one is {@code
   * defaultValue}, or a problem if that is null.
   */
  long number(String key, long min, long max, @Nullable Long defaultValue) {
    JsonNode value = member(key);
    if (value == null && defaultValue != null) {
      return defaultValue;
    }
    if (value == null
        || !value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.asLong() < min
        || value.asLong() > max) {
      addMismatch(key, "a whole number from " + min + " to " + max, value);
      return min;
    }
    return value.asLong();
  }

  /** Reads an optional whole number within a range, both bounds included. */
  OptionalLong optionalNumber(String key, long min, long max) {
    return has(key) ? OptionalLong.of(number(key, min, max)) : OptionalLong.empty();
  }

  /** Reads a number above 0; a missing one is {@code defaultValue}. */
  double positiveNumber(String key, double defaultValue) {
    JsonNode value = member(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isNumber() || !(value.asDouble() > 0) || Double.isInfinite(value.asDouble())) {
      addMismatch(key, "a number above 0", value);
      return 1;
    }
    return value.asDouble();
  }

  /** Reads a boolean; a missing one is false. */
  boolean bool(String key) {
    JsonNode value = member(key);
    if (value == null) {
      return false;
    }
    if (!value.isBoolean()) {
      addMismatch(key, "true or false", value);
    }
    return value.asBoolean();
  }

  /** Reads a required text that is not blank. */
  String text(String key) {
    JsonNode value = member(key);
    if (value == null || !value.isTextual() || value.asText().isBlank()) {
      addMismatch(key, "text that is not blank", value);
      return "missing";
    }
    return value.asText();
  }

  /** Reads a text that may be blank; a missing one is empty. */
  String optionalText(String key) {
    JsonNode value = member(key);
    if (value == null) {
      return "";
    }
    if (!value.isTextual()) {
      addMismatch(key, "text", value);
    }
    return value.asText();
  }

  /** Reads a required text that must be one of the allowed values. */
  Optional<String> oneOf(String key, List<String> allowed) {
    JsonNode value = member(key);
    if (value == null || !value.isTextual() || !allowed.contains(value.asText())) {
      addMismatch(key, "one of " + String.join(", ", allowed), value);
      return Optional.empty();
    }
    return Optional.of(value.asText());
  }

  /** Adds a problem for each member that has not been read; must be called last. */
  void rejectUnknownMembers() {
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      if (!knownKeys.contains(entry.getKey())) {
        addProblem(entry.getKey(), "unknown key, expected one of " + String.join(", ", knownKeys));
      }
    }
  }
}
