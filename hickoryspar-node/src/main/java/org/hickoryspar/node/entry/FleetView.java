package org.hickoryspar.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.FleetDelta;

/**
 * A version of the fleet document, with access to the members that an entry uses.
 *
 * @param version version of the document, 0 if there is none
 * @param document the complete document
 */
record FleetView(long version, ObjectNode document) {

  static final FleetView NONE = new FleetView(0, JsonNodeFactory.instance.objectNode());

  boolean hasTeam(String team) {
    return document.path("teams").has(team);
  }

  boolean hasService(String service) {
    return document.path("services").has(service);
  }

  boolean isOutOfService(String dataCentre) {
    return document.path("dataCentres").path(dataCentre).path("out").asBoolean(false);
  }

  Optional<String> regionOf(String dataCentre) {
    JsonNode region = document.path("dataCentres").path(dataCentre).path("region");
    return region.isTextual() ? Optional.of(region.textValue()) : Optional.empty();
  }

  /**
   * Returns the view after an update, or empty if deltas between the versions are missing.
   *
   * @throws IOException if a document is not a JSON object
   */
  Optional<FleetView> apply(ConfigUpdate update) throws IOException {
    if (!update.getFullDocumentJson().isEmpty()) {
      return Optional.of(
          new FleetView(
              update.getVersion(), parseObject(update.getFullDocumentJson().toByteArray())));
    }
    ObjectNode patched = document.deepCopy();
    long patchedVersion = version;
    for (FleetDelta delta : update.getDeltasList()) {
      if (delta.getVersion() <= patchedVersion) {
        continue;
      }
      if (delta.getVersion() != patchedVersion + 1) {
        return Optional.empty();
      }
      applyMergePatch(patched, parseObject(delta.getMergePatchJson().toByteArray()));
      patchedVersion = delta.getVersion();
    }
    return patchedVersion == update.getVersion()
        ? Optional.of(new FleetView(patchedVersion, patched))
        : Optional.empty();
  }

  private static ObjectNode parseObject(byte[] json) throws IOException {
    if (Responses.MAPPER.readTree(json) instanceof ObjectNode object) {
      return object;
    }
    throw new IOException("the fleet document is not a JSON object");
  }

  /** Applies a JSON merge patch (RFC 7396) to {@code target}. */
  private static void applyMergePatch(ObjectNode target, ObjectNode patch) {
    Iterator<Map.Entry<String, JsonNode>> members = patch.properties().iterator();
    while (members.hasNext()) {
      Map.Entry<String, JsonNode> member = members.next();
      if (member.getValue().isNull()) {
        target.remove(member.getKey());
      } else if (member.getValue() instanceof ObjectNode nestedPatch) {
        ObjectNode nestedTarget =
            target.get(member.getKey()) instanceof ObjectNode object
                ? object
                : target.putObject(member.getKey());
        applyMergePatch(nestedTarget, nestedPatch);
      } else {
        target.set(member.getKey(), member.getValue());
      }
    }
  }
}
