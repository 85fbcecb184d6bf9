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
 * written in a fixed order. Immutable.
 *
 * <pre>{@code
 * FleetDocument.parse(bytes)
 *     .flatMap(document -> document.withDataCentre("brest-a", true, "ines", "power works"))
 *     .map(FleetDocument::toBytes);
 * }</pre>
 *
 * @param teams teams by name
 * @param defaults default values for the whole fleet
 * @param services limits of the services by name; requests for any other service are rejected
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

  /** Copies the maps, sorted by key; throws {@link NullPointerException} if a component is null. */
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
   * @return a document with the standard defaults and no other entries
   */
  public static FleetDocument empty() {
    return EMPTY;
  }

  /**
   * Parses and validates a document.
   *
   * @param json the document as JSON in UTF-8
   * @return the document, or a failure {@code "invalid-document"} whose message has one line for
   *     each invalid path with the expected value
   */
  public static Result<FleetDocument> parse(byte[] json) {
    requireNonNull(json, "json is null");
    return parseJson(json).flatMap(FleetDocument::from);
  }

  /**
   * Validates a document that is already parsed as JSON.
   *
   * @param json the document
   * @return the document, or a failure {@code "invalid-document"} whose message has one line for
   *     each invalid path with the expected value
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
   * @return a new tree that includes the members with default values
   */
  public ObjectNode toJson() {
    return FleetJson.write(this);
  }

  /**
   * Serializes the document as JSON in UTF-8.
   *
   * @return the bytes, which are equal for equal documents
   */
  public byte[] toBytes() {
    return toJson().toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Applies a JSON merge patch (RFC 7396) and validates the result.
   *
   * @param mergePatch the patch as JSON in UTF-8
   * @return the patched document, or a failure {@code "invalid-document"}
   */
  public Result<FleetDocument> patched(byte[] mergePatch) {
    requireNonNull(mergePatch, "mergePatch is null");
    return parseJson(mergePatch).flatMap(patch -> from(MergePatch.apply(toJson(), patch)));
  }

  /**
   * Creates the JSON merge patch (RFC 7396) that turns this document into another one.
   *
   * @param target the document after the change
   * @return the patch as JSON in UTF-8
   */
  public byte[] patchTo(FleetDocument target) {
    requireNonNull(target, "target is null");
    return MergePatch.create(toJson(), target.toJson()).toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Describes the differences between this document and another one.
   *
   * @param target the document after the change
   * @return one line per change, ordered by path; empty if the documents are equal
   */
  public List<String> diff(FleetDocument target) {
    requireNonNull(target, "target is null");
    return FleetDiff.lines(toJson(), target.toJson());
  }

  /**
   * Adds an exception.
   *
   * @param exception the exception
   * @return the changed document, or a failure {@code "exists"} if the identifier is already used
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
   * Parses an exception from the request of an operator and adds it.
   *
   * @param json the members {@code id}, {@code kind}, {@code target}, {@code value}, {@code reason}
   *     and {@code endsMillis}; a member {@code changeId} is ignored
   * @param owner operator who was authenticated by the token
   * @param nowMillis creation time of the exception in milliseconds since the epoch
   * @return the changed document, or a failure {@code "invalid-document"} or {@code "exists"}
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
   * @param id identifier of the exception
   * @return the changed document, or a failure {@code "not-found"} if the exception does not exist
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
   * Takes a data centre out of service or returns it to service.
   *
   * @param name name of the data centre
   * @param out true to take it out of service
   * @param owner operator who makes the change
   * @param reason human-readable reason; must not be blank if {@code out} is true
   * @return the changed document, or a failure {@code "not-found"} for an unknown data centre or
   *     {@code "invalid-document"}
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
   * Returns the limits of a service after applying the defaults and the exceptions in force.
   *
   * @param service name of the service
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return the limits, both present; the defaults of the fleet for an unknown service
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
   * Returns the exceptions that have not ended.
   *
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return the exceptions, ordered by identifier; a later one overrides an earlier one
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
   * Returns the time at which the next exception ends. The scheduling configuration must then be
   * converted again.
   *
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return the time in milliseconds since the epoch, or empty if no exception in force has an end
   */
  public OptionalLong nextExceptionEndMillis(long nowMillis) {
    return exceptionsInForce(nowMillis).stream()
        .flatMapToLong(exception -> exception.endsMillis().stream())
        .min();
  }

  /**
   * Converts the document to the configuration of the scheduler, with the exceptions in force.
   *
   * @param version version of the document
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return the scheduling configuration
   */
  public SchedulingConfig toSchedulingConfig(long version, long nowMillis) {
    return SchedulingConfigConverter.convert(this, version, nowMillis);
  }
}
