package org.hickoryspar.kernel.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.value.Result;

/** Parses and validates fleet documents, collecting all problems of a document. */
final class FleetParser {

  /** Problem code of an invalid document. */
  static final String INVALID = "invalid-document";

  /** Registered names of the built-in placement policies. */
  static final List<String> PLACEMENT_POLICIES = List.of("fragmentation", "completion-time");

  private static final List<String> ADJACENCIES =
      Arrays.stream(Adjacency.values())
          .map(adjacency -> Ascii.toLowerCase(adjacency.name()))
          .toList();

  private static final long MAX_AMOUNT = Integer.MAX_VALUE;
  private static final long MAX_GANG_TASKS = 4_096;
  private static final long MAX_GUARANTEE_COUNT = 1_000;
  private static final long DAY_MILLIS = 86_400_000;

  private final List<String> problems = new ArrayList<>();

  private FleetParser() {}

  static Result<FleetDocument> parse(JsonNode json) {
    FleetParser parser = new FleetParser();
    FleetDocument document = parser.document(JsonObjectReader.root(json, parser.problems));
    if (parser.problems.isEmpty()) {
      return Result.success(document);
    }
    return Result.failure(INVALID, String.join("\n", parser.problems));
  }

  private FleetDocument document(JsonObjectReader root) {
    Map<String, Team> teams = new TreeMap<>();
    root.objectMap("teams").forEach((name, reader) -> teams.put(name, team(reader)));
    FleetDefaults defaults =
        root.has("defaults") ? defaults(root.object("defaults")) : FleetDefaults.STANDARD;
    Map<String, ServiceLimits> services = new TreeMap<>();
    root.objectMap("services").forEach((name, reader) -> services.put(name, service(reader)));
    Map<String, DataCentre> dataCentres = new TreeMap<>();
    root.objectMap("dataCentres")
        .forEach((name, reader) -> dataCentres.put(name, dataCentre(reader)));
    Map<String, FleetException> exceptions = new TreeMap<>();
    root.objectMap("exceptions")
        .forEach((id, reader) -> exceptions.put(id, exception(id, reader, teams, services)));
    root.rejectUnknownMembers();
    return new FleetDocument(teams, defaults, services, dataCentres, exceptions);
  }

  private Team team(JsonObjectReader reader) {
    ResourceVector quota = resources(reader.object("quota"));
    double weight = reader.positiveNumber("weight", 1);
    List<Guarantee> guarantees = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (JsonObjectReader guaranteeReader : reader.objectList("guarantees")) {
      Guarantee guarantee = guarantee(guaranteeReader);
      if (!names.add(guarantee.name())) {
        guaranteeReader.addProblem("name", "expected a name that is unique in the team");
      }
      guarantees.add(guarantee);
    }
    reader.rejectUnknownMembers();
    Team team = new Team(quota, weight, guarantees);
    checkQuota(reader, "quota", quota, team);
    return team;
  }

  /**
   * Checks that a quota covers the guarantees of the team, which otherwise could not be honoured.
   */
  private static void checkQuota(
      JsonObjectReader reader, String key, ResourceVector quota, Team team) {
    checkAmount(reader, key + ".cores", quota, team, ResourceVector::cores);
    checkAmount(reader, key + ".memoryMegabytes", quota, team, ResourceVector::memoryMegabytes);
    checkAmount(reader, key + ".accelerators", quota, team, ResourceVector::accelerators);
  }

  private static void checkAmount(
      JsonObjectReader reader,
      String key,
      ResourceVector quota,
      Team team,
      ToLongFunction<ResourceVector> amount) {
    long guaranteed = 0;
    for (Guarantee guarantee : team.guarantees()) {
      long gangAmount = amount.applyAsLong(guarantee.shape().perTask()) * guarantee.shape().tasks();
      guaranteed += gangAmount * guarantee.count();
    }
    if (amount.applyAsLong(quota) < guaranteed) {
      reader.addProblem(
          key,
          "expected at least the total of the guarantees, "
              + guaranteed
              + ", found "
              + amount.applyAsLong(quota));
    }
  }

  private static Guarantee guarantee(JsonObjectReader reader) {
    String name = reader.text("name");
    long tasks = reader.number("tasks", 1, MAX_GANG_TASKS);
    ResourceVector perTask = resources(reader.object("perTask"));
    Adjacency adjacency =
        reader
            .oneOf("adjacency", ADJACENCIES)
            .map(code -> Adjacency.valueOf(Ascii.toUpperCase(code)))
            .orElse(Adjacency.NONE);
    long count = reader.number("count", 1, MAX_GUARANTEE_COUNT, 1L);
    reader.rejectUnknownMembers();
    return new Guarantee(name, new GangShape((int) tasks, perTask, adjacency), (int) count);
  }

  private static ResourceVector resources(JsonObjectReader reader) {
    long cores = reader.number("cores", 0, MAX_AMOUNT);
    long memory = reader.number("memoryMegabytes", 0, MAX_AMOUNT);
    long accelerators = reader.number("accelerators", 0, MAX_AMOUNT);
    reader.rejectUnknownMembers();
    return new ResourceVector((int) cores, (int) memory, (int) accelerators);
  }

  private static FleetDefaults defaults(JsonObjectReader reader) {
    FleetDefaults standard = FleetDefaults.STANDARD;
    String policy =
        reader.has("placementPolicy")
            ? reader.oneOf("placementPolicy", PLACEMENT_POLICIES).orElse(standard.placementPolicy())
            : standard.placementPolicy();
    FleetDefaults defaults =
        new FleetDefaults(
            policy,
            reader.number("deadlineMillis", 1, DAY_MILLIS, standard.deadlineMillis()),
            reader.number("queueLength", 1, 1_000_000, standard.queueLength()),
            reader.number("claimsPerTeam", 1, 10_000_000, standard.claimsPerTeam()),
            reader.number("retryBudgetPercent", 0, 100, standard.retryBudgetPercent()),
            reader.number("checkpointLimitMillis", 0, 60_000, standard.checkpointLimitMillis()));
    reader.rejectUnknownMembers();
    return defaults;
  }

  private static ServiceLimits service(JsonObjectReader reader) {
    ServiceLimits service =
        new ServiceLimits(
            reader.optionalNumber("deadlineMillis", 1, DAY_MILLIS),
            reader.optionalNumber("queueLength", 1, 1_000_000));
    reader.rejectUnknownMembers();
    return service;
  }

  private static DataCentre dataCentre(JsonObjectReader reader) {
    String region = reader.text("region");
    boolean out = reader.bool("out");
    String reason = out ? reader.text("reason") : reader.optionalText("reason");
    String owner = out ? reader.text("owner") : reader.optionalText("owner");
    reader.rejectUnknownMembers();
    return new DataCentre(region, out, reason, owner);
  }

  private FleetException exception(
      String id,
      JsonObjectReader reader,
      Map<String, Team> teams,
      Map<String, ServiceLimits> services) {
    ExceptionKind kind =
        reader
            .oneOf("kind", ExceptionKind.codes())
            .flatMap(ExceptionKind::of)
            .orElse(ExceptionKind.WORKER_OUT);
    String target = reader.text("target");
    FleetException.Value value = value(kind, reader);
    checkTarget(kind, target, value, reader, teams, services);
    FleetException exception =
        new FleetException(
            id,
            kind,
            target,
            value,
            reader.text("owner"),
            reader.text("reason"),
            reader.number("createdMillis", 0, Long.MAX_VALUE),
            reader.optionalNumber("endsMillis", 0, Long.MAX_VALUE));
    reader.rejectUnknownMembers();
    return exception;
  }

  private static FleetException.Value value(ExceptionKind kind, JsonObjectReader reader) {
    return switch (kind) {
      case WORKER_OUT -> new FleetException.NoValue();
      case TEAM_QUOTA -> new FleetException.Quota(resources(reader.object("value")));
      case TEAM_WEIGHT -> {
        if (!reader.has("value")) {
          reader.addProblem("value", "expected a number above 0, found nothing");
        }
        yield new FleetException.Weight(reader.positiveNumber("value", 1));
      }
      case SERVICE_LIMIT -> new FleetException.Limits(service(reader.object("value")));
    };
  }

  private static void checkTarget(
      ExceptionKind kind,
      String target,
      FleetException.Value value,
      JsonObjectReader reader,
      Map<String, Team> teams,
      Map<String, ServiceLimits> services) {
    if (kind == ExceptionKind.SERVICE_LIMIT && !services.containsKey(target)) {
      reader.addProblem("target", "expected a service of this document, found \"" + target + "\"");
    }
    if (kind == ExceptionKind.TEAM_QUOTA || kind == ExceptionKind.TEAM_WEIGHT) {
      Team team = teams.get(target);
      if (team == null) {
        reader.addProblem("target", "expected a team of this document, found \"" + target + "\"");
      } else if (value instanceof FleetException.Quota quota) {
        checkQuota(reader, "value", quota.quota(), team);
      }
    }
  }

  /**
   * Parses an exception from the request of an operator, which has the members {@code id}, {@code
   * kind}, {@code target}, {@code value}, {@code reason} and {@code endsMillis}; owner and creation
   * time are added here.
   */
  static Result<FleetException> parseOperatorException(
      JsonNode json, FleetDocument document, String owner, long nowMillis) {
    if (!json.isObject()) {
      return Result.failure(INVALID, "$: expected an object, found " + json);
    }
    ObjectNode exceptionJson = ((ObjectNode) json).deepCopy();
    exceptionJson.remove("changeId");
    JsonNode id = exceptionJson.remove("id");
    FleetParser parser = new FleetParser();
    if (id == null || !id.isTextual() || !JsonObjectReader.isName(id.asText())) {
      parser.problems.add("$.id: expected " + JsonObjectReader.NAME_RULE + ", found " + id);
    }
    exceptionJson.put("owner", owner).put("createdMillis", nowMillis);
    FleetException exception =
        parser.exception(
            id == null ? "missing" : id.asText(),
            JsonObjectReader.root(exceptionJson, parser.problems),
            document.teams(),
            document.services());
    return parser.problems.isEmpty()
        ? Result.success(exception)
        : Result.failure(INVALID, String.join("\n", parser.problems));
  }
}
