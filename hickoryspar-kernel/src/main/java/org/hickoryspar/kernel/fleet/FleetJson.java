package org.hickoryspar.kernel.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import org.hickoryspar.kernel.scheduling.ResourceVector;

/** Serializes fleet documents as JSON with a fixed order of members. */
final class FleetJson {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private FleetJson() {}

  static ObjectNode write(FleetDocument document) {
    ObjectNode root = NODES.objectNode();
    ObjectNode teams = root.putObject("teams");
    document.teams().forEach((name, team) -> teams.set(name, team(team)));
    root.set("defaults", defaults(document.defaults()));
    ObjectNode services = root.putObject("services");
    document.services().forEach((name, service) -> services.set(name, service(service)));
    ObjectNode dataCentres = root.putObject("dataCentres");
    document
        .dataCentres()
        .forEach((name, dataCentre) -> dataCentres.set(name, dataCentre(dataCentre)));
    ObjectNode exceptions = root.putObject("exceptions");
    document.exceptions().forEach((id, exception) -> exceptions.set(id, exception(exception)));
    return root;
  }

  private static ObjectNode team(Team team) {
    ObjectNode node = NODES.objectNode();
    node.set("quota", resources(team.quota()));
    node.put("weight", team.weight());
    ArrayNode guarantees = node.putArray("guarantees");
    for (Guarantee guarantee : team.guarantees()) {
      ObjectNode item = guarantees.addObject();
      item.put("name", guarantee.name());
      item.put("tasks", guarantee.shape().tasks());
      item.set("perTask", resources(guarantee.shape().perTask()));
      item.put("adjacency", Ascii.toLowerCase(guarantee.shape().adjacency().name()));
      item.put("count", guarantee.count());
    }
    return node;
  }

  private static ObjectNode resources(ResourceVector resources) {
    return NODES
        .objectNode()
        .put("cores", resources.cores())
        .put("memoryMegabytes", resources.memoryMegabytes())
        .put("accelerators", resources.accelerators());
  }

  private static ObjectNode defaults(FleetDefaults defaults) {
    return NODES
        .objectNode()
        .put("placementPolicy", defaults.placementPolicy())
        .put("deadlineMillis", defaults.deadlineMillis())
        .put("queueLength", defaults.queueLength())
        .put("claimsPerTeam", defaults.claimsPerTeam())
        .put("retryBudgetPercent", defaults.retryBudgetPercent())
        .put("checkpointLimitMillis", defaults.checkpointLimitMillis());
  }

  private static ObjectNode service(ServiceLimits service) {
    ObjectNode node = NODES.objectNode();
    service.deadlineMillis().ifPresent(value -> node.put("deadlineMillis", value));
    service.queueLength().ifPresent(value -> node.put("queueLength", value));
    return node;
  }

  private static ObjectNode dataCentre(DataCentre dataCentre) {
    return NODES
        .objectNode()
        .put("region", dataCentre.region())
        .put("out", dataCentre.out())
        .put("reason", dataCentre.reason())
        .put("owner", dataCentre.owner());
  }

  private static ObjectNode exception(FleetException exception) {
    ObjectNode node = NODES.objectNode();
    node.put("kind", exception.kind().code());
    node.put("target", exception.target());
    JsonNode value = value(exception.value());
    if (!value.isMissingNode()) {
      node.set("value", value);
    }
    node.put("owner", exception.owner());
    node.put("reason", exception.reason());
    node.put("createdMillis", exception.createdMillis());
    exception.endsMillis().ifPresent(millis -> node.put("endsMillis", millis));
    return node;
  }

  private static JsonNode value(FleetException.Value value) {
    if (value instanceof FleetException.Quota quota) {
      return resources(quota.quota());
    }
    if (value instanceof FleetException.Weight weight) {
      return NODES.numberNode(weight.weight());
    }
    if (value instanceof FleetException.Limits limits) {
      return service(limits.limits());
    }
    return NODES.missingNode();
  }
}
