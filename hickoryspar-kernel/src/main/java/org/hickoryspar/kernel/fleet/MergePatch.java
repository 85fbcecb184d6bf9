package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Applies and creates JSON merge patches (RFC 7396) without modifying the arguments. */
public final class MergePatch {

  private MergePatch() {}

  /**
   * Applies a patch to a copy of a document.
   *
   * @param target the document
   * @param patch the patch
   * @return the patched document
   */
  public static JsonNode apply(JsonNode target, JsonNode patch) {
    requireNonNull(target, "target is null");
    requireNonNull(patch, "patch is null");
    if (!patch.isObject()) {
      return patch.deepCopy();
    }
    ObjectNode result =
        target.isObject()
            ? ((ObjectNode) target).deepCopy()
            : JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> entry : patch.properties()) {
      JsonNode value = entry.getValue();
      if (value.isNull()) {
        result.remove(entry.getKey());
      } else {
        JsonNode before = result.get(entry.getKey());
        result.set(
            entry.getKey(),
            apply(before == null ? JsonNodeFactory.instance.nullNode() : before, value));
      }
    }
    return result;
  }

  /**
   * Creates the patch that turns one document into another.
   *
   * @param source the document before the change
   * @param target the document after the change, without null members, which a patch cannot express
   * @return the patch, an empty object if the documents are equal
   * @throws IllegalArgumentException if the patch would have to set a member to null
   */
  public static JsonNode create(JsonNode source, JsonNode target) {
    requireNonNull(source, "source is null");
    requireNonNull(target, "target is null");
    if (!source.isObject() || !target.isObject()) {
      requireNoNullMembers(target);
      return target.deepCopy();
    }
    ObjectNode patch = JsonNodeFactory.instance.objectNode();
    for (Map.Entry<String, JsonNode> entry : source.properties()) {
      if (!target.has(entry.getKey())) {
        patch.putNull(entry.getKey());
      }
    }
    for (Map.Entry<String, JsonNode> entry : target.properties()) {
      JsonNode before = source.get(entry.getKey());
      if (before == null || !equalByValue(before, entry.getValue())) {
        patch.set(
            entry.getKey(),
            create(
                before == null ? JsonNodeFactory.instance.nullNode() : before, entry.getValue()));
      }
    }
    return patch;
  }

  private static void requireNoNullMembers(JsonNode node) {
    if (node.isNull()) {
      throw new IllegalArgumentException("a merge patch cannot set a member to null");
    }
    if (node.isObject()) {
      node.forEach(MergePatch::requireNoNullMembers);
    }
  }

  /** Compares by value, because equal numbers may have different types, such as int and long. */
  static boolean equalByValue(JsonNode left, JsonNode right) {
    return left.equals(MergePatch::compareLeaves, right);
  }

  private static int compareLeaves(JsonNode left, JsonNode right) {
    if (left.equals(right)) {
      return 0;
    }
    boolean bothNumbers = left.isNumber() && right.isNumber();
    return bothNumbers && left.decimalValue().compareTo(right.decimalValue()) == 0 ? 0 : 1;
  }
}
