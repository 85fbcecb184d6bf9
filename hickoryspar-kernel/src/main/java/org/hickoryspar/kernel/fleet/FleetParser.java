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

/** Reads documents from JSON and checks them. */
final class FleetParser {

  /** Code of the problem of a document that is not valid. */
  static final String INVALID = "invalid-document";

  /** The words for placement policies that the project ships. */
  static final List<String> POLICIES = List.of("fragmentation", "completion-time");

  private static final List<String> ADJACENCIES =
      Arrays.stream(Adjacency.values()).map(a -> Ascii.toLowerCase(a.name())).toList();

  private static final long MAX_AMOUNT = Integer.MAX_VALUE;
  private static final long MAX_GANG_TASKS = 4_096;
  private static final long MAX_GUARANTEE_COUNT = 1_000;
  private static final long DAY_MILLIS = 86_400_000;

  private final List<String> problems = new ArrayList<>();

  private FleetParser() {}

  static Result<FleetDocument> parse(JsonNode json) {
    FleetParser parser = new FleetParser();
    FleetDocument document = parser.document(Fields.root(json, parser.problems));
    if (parser.problems.isEmpty()) {
      return Result.success(document);
    }
    return Result.failure(INVALID, String.join("\n", parser.problems));
  }

  private FleetDocument document(Fields root) {
    Map<String, Team> teams = new TreeMap<>();
    root.objects("teams").forEach((name, fields) -> teams.put(name, team(fields)));
    FleetDefaults defaults =
        root.has("defaults") ? defaults(root.object("defaults")) : FleetDefaults.STANDARD;
    Map<String, ServicePolicy> services = new TreeMap<>();
    root.objects("services").forEach((name, fields) -> services.put(name, service(fields)));
    Map<String, DataCentre> dataCentres = new TreeMap<>();
    root.objects("dataCentres")
        .forEach((name, fields) -> dataCentres.put(name, dataCentre(fields)));
    Map<String, FleetException> exceptions = new TreeMap<>();
    root.objects("exceptions")
        .forEach((id, fields) -> exceptions.put(id, exception(id, fields, teams, services)));
    root.end();
    return new FleetDocument(teams, defaults, services, dataCentres, exceptions);
  }

  private Team team(Fields fields) {
    ResourceVector quota = resources(fields.object("quota"));
    double weight = fields.positive("weight", 1);
    List<Guarantee> guarantees = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Fields item : fields.list("guarantees")) {
      Guarantee guarantee = guarantee(item);
      if (!names.add(guarantee.name())) {
        item.problem("name", "expected a name that is unique in the team");
      }
      guarantees.add(guarantee);
    }
    fields.end();
    Team team = new Team(quota, weight, guarantees);
    checkQuota(fields, "quota", quota, team);
    return team;
  }

  /** A quota below the guarantees would make the guarantees unusable. */
  private static void checkQuota(Fields fields, String key, ResourceVector quota, Team team) {
    checkAmount(fields, key + ".cores", quota, team, ResourceVector::cores);
    checkAmount(fields, key + ".memoryMegabytes", quota, team, ResourceVector::memoryMegabytes);
    checkAmount(fields, key + ".accelerators", quota, team, ResourceVector::accelerators);
  }

  private static void checkAmount(
      Fields fields,
      String key,
      ResourceVector quota,
      Team team,
      ToLongFunction<ResourceVector> amount) {
    long guaranteed = 0;
    for (Guarantee guarantee : team.guarantees()) {
      long gang = amount.applyAsLong(guarantee.shape().perTask()) * guarantee.shape().tasks();
      guaranteed += gang * guarantee.count();
    }
    if (amount.applyAsLong(quota) < guaranteed) {
      fields.problem(
          key,
          "expected at least the total of the guarantees, "
              + guaranteed
              + ", found "
              + amount.applyAsLong(quota));
    }
  }

  private static Guarantee guarantee(Fields fields) {
    String name = fields.text("name");
    long tasks = fields.number("tasks", 1, MAX_GANG_TASKS);
    ResourceVector perTask = resources(fields.object("perTask"));
    Adjacency adjacency =
        fields
            .word("adjacency", ADJACENCIES)
            .map(word -> Adjacency.valueOf(Ascii.toUpperCase(word)))
            .orElse(Adjacency.NONE);
    long count = fields.number("count", 1, MAX_GUARANTEE_COUNT, 1L);
    fields.end();
    return new Guarantee(name, new GangShape((int) tasks, perTask, adjacency), (int) count);
  }

  private static ResourceVector resources(Fields fields) {
    long cores = fields.number("cores", 0, MAX_AMOUNT);
    long memory = fields.number("memoryMegabytes", 0, MAX_AMOUNT);
    long accelerators = fields.number("accelerators", 0, MAX_AMOUNT);
    fields.end();
    return new ResourceVector((int) cores, (int) memory, (int) accelerators);
  }

  private static FleetDefaults defaults(Fields fields) {
    FleetDefaults standard = FleetDefaults.STANDARD;
    String policy =
        fields.has("placementPolicy")
            ? fields.word("placementPolicy", POLICIES).orElse(standard.placementPolicy())
            : standard.placementPolicy();
    FleetDefaults defaults =
        new FleetDefaults(
            policy,
            fields.number("deadlineMillis", 1, DAY_MILLIS, standard.deadlineMillis()),
            fields.number("queueLength", 1, 1_000_000, standard.queueLength()),
            fields.number("claimsPerTeam", 1, 10_000_000, standard.claimsPerTeam()),
            fields.number("retryBudgetPercent", 0, 100, standard.retryBudgetPercent()),
            fields.number("checkpointLimitMillis", 0, 60_000, standard.checkpointLimitMillis()));
    fields.end();
    return defaults;
  }

  private static ServicePolicy service(Fields fields) {
    ServicePolicy service =
        new ServicePolicy(
            fields.optionalNumber("deadlineMillis", 1, DAY_MILLIS),
            fields.optionalNumber("queueLength", 1, 1_000_000));
    fields.end();
    return service;
  }

  private static DataCentre dataCentre(Fields fields) {
    String region = fields.text("region");
    boolean out = fields.flag("out");
    String reason = out ? fields.text("reason") : fields.optionalText("reason");
    String owner = out ? fields.text("owner") : fields.optionalText("owner");
    fields.end();
    return new DataCentre(region, out, reason, owner);
  }

  private FleetException exception(
      String id, Fields fields, Map<String, Team> teams, Map<String, ServicePolicy> services) {
    ExceptionKind kind =
        fields
            .word("kind", ExceptionKind.codes())
            .flatMap(ExceptionKind::of)
            .orElse(ExceptionKind.WORKER_OUT);
    String target = fields.text("target");
    FleetException.Value value = value(kind, fields);
    checkTarget(kind, target, value, fields, teams, services);
    FleetException exception =
        new FleetException(
            id,
            kind,
            target,
            value,
            fields.text("owner"),
            fields.text("reason"),
            fields.number("createdMillis", 0, Long.MAX_VALUE),
            fields.optionalNumber("endsMillis", 0, Long.MAX_VALUE));
    fields.end();
    return exception;
  }

  private static FleetException.Value value(ExceptionKind kind, Fields fields) {
    return switch (kind) {
      case WORKER_OUT -> new FleetException.NoValue();
      case TEAM_QUOTA -> new FleetException.Quota(resources(fields.object("value")));
      case TEAM_WEIGHT -> {
        if (!fields.has("value")) {
          fields.problem("value", "expected a number above 0, found nothing");
        }
        yield new FleetException.Weight(fields.positive("value", 1));
      }
      case SERVICE_LIMIT -> new FleetException.Limits(service(fields.object("value")));
    };
  }

  private static void checkTarget(
      ExceptionKind kind,
      String target,
      FleetException.Value value,
      Fields fields,
      Map<String, Team> teams,
      Map<String, ServicePolicy> services) {
    if (kind == ExceptionKind.SERVICE_LIMIT && !services.containsKey(target)) {
      fields.problem("target", "expected a service of this document, found \"" + target + "\"");
    }
    if (kind == ExceptionKind.TEAM_QUOTA || kind == ExceptionKind.TEAM_WEIGHT) {
      Team team = teams.get(target);
      if (team == null) {
        fields.problem("target", "expected a team of this document, found \"" + target + "\"");
      } else if (value instanceof FleetException.Quota quota) {
        checkQuota(fields, "value", quota.quota(), team);
      }
    }
  }

  /**
   * Reads one exception as an operator sends it: {@code id}, {@code kind}, {@code target}, {@code
   * value}, {@code reason}, {@code endsMillis}; the server adds owner and time.
   */
  static Result<FleetException> operatorException(
      JsonNode json, FleetDocument document, String owner, long nowMillis) {
    if (!json.isObject()) {
      return Result.failure(INVALID, "$: expected an object, found " + json);
    }
    ObjectNode complete = ((ObjectNode) json).deepCopy();
    complete.remove("changeId");
    JsonNode id = complete.remove("id");
    FleetParser parser = new FleetParser();
    if (id == null || !id.isTextual() || !Fields.isName(id.asText())) {
      parser.problems.add("$.id: expected " + Fields.NAME_RULE + ", found " + id);
    }
    complete.put("owner", owner).put("createdMillis", nowMillis);
    FleetException exception =
        parser.exception(
            id == null ? "missing" : id.asText(),
            Fields.root(complete, parser.problems),
            document.teams(),
            document.services());
    return parser.problems.isEmpty()
        ? Result.success(exception)
        : Result.failure(INVALID, String.join("\n", parser.problems));
  }
}
