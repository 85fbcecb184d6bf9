package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.value.Result;

/**
 * The declared configuration of the fleet. Equal documents have equal JSON, because members are
 * written in a fixed order.
 *
 * <pre>{@code
 * FleetDocument.parse(bytes)
 *     .flatMap(document -> document.withDataCentre("brest-a", true, "ines", "power works"))
 *     .map(FleetDocument::toBytes);
 * }</pre>
 *
 * @param teams teams by name
 * @param defaults values for the whole fleet
 * @param services services by name; requests for any other service are refused
 * @param dataCentres data centres by name
 * @param exceptions exceptions by identifier
 */
public record FleetDocument(
    Map<String, Team> teams,
    FleetDefaults defaults,
    Map<String, ServiceLimits> services,
    Map<String, DataCentre> dataCentres,
    Map<String, FleetException> exceptions) {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final FleetDocument EMPTY =
      new FleetDocument(Map.of(), FleetDefaults.STANDARD, Map.of(), Map.of(), Map.of());

  /** Copies and sorts the maps. */
  public FleetDocument {
    teams = ImmutableSortedMap.copyOf(teams);
    requireNonNull(defaults, "defaults is null");
    services = ImmutableSortedMap.copyOf(services);
    dataCentres = ImmutableSortedMap.copyOf(dataCentres);
    exceptions = ImmutableSortedMap.copyOf(exceptions);
  }

  /**
   * Returns the document of a new cluster.
   *
   * @return a document without teams, with the standard defaults
   */
  public static FleetDocument empty() {
    return EMPTY;
  }

  /**
   * Parses and checks a document.
   *
   * @param json the document in UTF-8
   * @return the document, else a problem that lists each wrong path and what was expected there
   */
  public static Result<FleetDocument> parse(byte[] json) {
    requireNonNull(json, "json is null");
    return parseJson(json).flatMap(FleetDocument::from);
  }

  /**
   * Checks a document.
   *
   * @param json the document
   * @return the document, else a problem that lists each wrong path and what was expected there
   */
  public static Result<FleetDocument> from(JsonNode json) {
    requireNonNull(json, "json is null");
    return FleetParser.parse(json);
  }

  private static Result<JsonNode> parseJson(byte[] json) {
    try {
      return Result.success(MAPPER.readTree(json));
    } catch (JsonProcessingException e) {
      String location =
          e.getLocation() == null
              ? ""
              : "line " + e.getLocation().getLineNr() + ", column " + e.getLocation().getColumnNr();
      return Result.failure(
          FleetParser.INVALID, "$: expected JSON, " + location + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure(FleetParser.INVALID, "$: expected JSON: " + e.getMessage());
    }
  }

  /**
   * Converts the document to JSON.
   *
   * @return a new tree, with every default written out
   */
  public ObjectNode toJson() {
    return FleetJson.write(this);
  }

  /**
   * Converts the document to JSON in UTF-8.
   *
   * @return the bytes; equal for equal documents
   */
  public byte[] toBytes() {
    return toJson().toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Applies a JSON merge patch (RFC 7396) and checks the result.
   *
   * @param mergePatch the patch in UTF-8
   * @return the patched document, or a problem
   */
  public Result<FleetDocument> patched(byte[] mergePatch) {
    requireNonNull(mergePatch, "mergePatch is null");
    return parseJson(mergePatch).flatMap(patch -> from(MergePatch.apply(toJson(), patch)));
  }

  /**
   * Creates the JSON merge patch (RFC 7396) that leads to another document.
   *
   * @param target the document after the change
   * @return the patch in UTF-8
   */
  public byte[] patchTo(FleetDocument target) {
    requireNonNull(target, "target is null");
    return MergePatch.create(toJson(), target.toJson()).toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Describes the way to another document.
   *
   * @param target the document after the change
   * @return one line per change, ordered by path; empty when the documents are equal
   */
  public List<String> diff(FleetDocument target) {
    requireNonNull(target, "target is null");
    return FleetDiff.lines(toJson(), target.toJson());
  }

  /**
   * Adds an exception.
   *
   * @param exception the exception
   * @return the document with it; a failure {@code "exists"} when its identifier is taken
   */
  public Result<FleetDocument> withException(FleetException exception) {
    requireNonNull(exception, "exception is null");
    if (exceptions.containsKey(exception.id())) {
      return Result.failure("exists", "exception " + exception.id() + " exists already");
    }
    Map<String, FleetException> changed = new TreeMap<>(exceptions);
    changed.put(exception.id(), exception);
    return validated(new FleetDocument(teams, defaults, services, dataCentres, changed));
  }

  /**
   * Reads an exception as an operator sends it ({@code id}, {@code kind}, {@code target}, {@code
   * value}, {@code reason}, {@code endsMillis}) and adds it.
   *
   * @param json the exception; a member {@code changeId} is ignored
   * @param owner the operator, as known from the token
   * @param nowMillis replicated time
   * @return the document with it, or a problem
   */
  public Result<FleetDocument> withException(JsonNode json, String owner, long nowMillis) {
    requireNonNull(json, "json is null");
    requireNonNull(owner, "owner is null");
    return FleetParser.parseOperatorException(json, this, owner, nowMillis)
        .flatMap(this::withException);
  }

  /**
   * Removes an exception.
   *
   * @param id its identifier
   * @return the document without it; a failure {@code "not-found"} when there is none
   */
  public Result<FleetDocument> withoutException(String id) {
    requireNonNull(id, "id is null");
    if (!exceptions.containsKey(id)) {
      return Result.failure("not-found", "there is no exception " + id);
    }
    Map<String, FleetException> changed = new TreeMap<>(exceptions);
    changed.remove(id);
    return validated(new FleetDocument(teams, defaults, services, dataCentres, changed));
  }

  /**
   * Takes a data centre out of service or returns it.
   *
   * @param name the data centre
   * @param out true to take it out
   * @param owner the operator
   * @param reason why, for people
   * @return the changed document; a failure {@code "not-found"} for an unknown data centre
   */
  public Result<FleetDocument> withDataCentre(
      String name, boolean out, String owner, String reason) {
    requireNonNull(name, "name is null");
    DataCentre before = dataCentres.get(name);
    if (before == null) {
      return Result.failure("not-found", "there is no data centre " + name);
    }
    Map<String, DataCentre> changed = new TreeMap<>(dataCentres);
    changed.put(name, new DataCentre(before.region(), out, reason, owner));
    return validated(new FleetDocument(teams, defaults, services, changed, exceptions));
  }

  private static Result<FleetDocument> validated(FleetDocument document) {
    return from(document.toJson());
  }

  /**
   * Returns the limits of a service with the defaults and the exceptions in force applied.
   *
   * @param service the service
   * @param nowMillis replicated time
   * @return the limits, both present; those of the fleet for an unknown service
   */
  public ServiceLimits effectiveLimits(String service, long nowMillis) {
    requireNonNull(service, "service is null");
    ServiceLimits declared = services.getOrDefault(service, ServiceLimits.INHERITED);
    OptionalLong deadlineMillis = valueOr(declared.deadlineMillis(), defaults.deadlineMillis());
    OptionalLong queueLength = valueOr(declared.queueLength(), defaults.queueLength());
    for (FleetException exception : exceptionsInForce(nowMillis)) {
      if (exception.target().equals(service)
          && exception.value() instanceof FleetException.Limits changed) {
        deadlineMillis = valueOr(changed.limits().deadlineMillis(), deadlineMillis.getAsLong());
        queueLength = valueOr(changed.limits().queueLength(), queueLength.getAsLong());
      }
    }
    return new ServiceLimits(deadlineMillis, queueLength);
  }

  private static OptionalLong valueOr(OptionalLong value, long defaultValue) {
    return OptionalLong.of(value.orElse(defaultValue));
  }

  /**
   * Lists the exceptions that have an effect.
   *
   * @param nowMillis replicated time
   * @return the exceptions, ordered by identifier; a later one wins over an earlier one
   */
  public List<FleetException> exceptionsInForce(long nowMillis) {
    List<FleetException> result = new ArrayList<>();
    for (FleetException exception : exceptions.values()) {
      if (exception.isInForce(nowMillis)) {
        result.add(exception);
      }
    }
    return result;
  }

  /**
   * Returns the time at which the next exception ends, when the configuration must be converted
   * anew.
   *
   * @param nowMillis replicated time
   * @return the time, or empty when no exception in force has an end
   */
  public OptionalLong nextExceptionEndMillis(long nowMillis) {
    return exceptionsInForce(nowMillis).stream()
        .flatMapToLong(exception -> exception.endsMillis().stream())
        .min();
  }

  /**
   * Converts the document to what the scheduler needs, with the exceptions in force applied.
   *
   * @param version version of the document
   * @param nowMillis replicated time
   * @return the scheduling configuration
   */
  public SchedulingConfig toSchedulingConfig(long version, long nowMillis) {
    return SchedulingConfigConverter.convert(this, version, nowMillis);
  }
}
