package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import org.hickoryspar.kernel.scheduling.ResourceVector;

/**
 * An override of a declared value, with an owner and a reason. It is an element of the fleet
 * document, not a {@link Throwable}.
 *
 * @param id identifier, unique in the document
 * @param kind determines the overridden value
 * @param target name of the worker, team or service, depending on {@code kind}
 * @param value value that replaces the declared one
 * @param owner operator who is responsible for the exception; not blank
 * @param reason human-readable reason; not blank
 * @param createdMillis time of creation in milliseconds since the epoch
 * @param endsMillis replicated time in milliseconds since the epoch at which the exception ends, or
 *     empty for no end
 */
public record FleetException(
    String id,
    ExceptionKind kind,
    String target,
    Value value,
    String owner,
    String reason,
    long createdMillis,
    OptionalLong endsMillis) {

  /**
   * Rejects null components and a blank owner or reason.
   *
   * @throws NullPointerException if a component is null
   * @throws IllegalArgumentException if {@code owner} or {@code reason} is blank
   */
  public FleetException {
    requireNonNull(id, "id is null");
    requireNonNull(kind, "kind is null");
    requireNonNull(target, "target is null");
    requireNonNull(value, "value is null");
    requireNonNull(owner, "owner is null");
    requireNonNull(reason, "reason is null");
    requireNonNull(endsMillis, "endsMillis is null");
    if (owner.isBlank() || reason.isBlank()) {
      throw new IllegalArgumentException("exception " + id + " needs an owner and a reason");
    }
  }

  /**
   * Returns whether the exception has not ended.
   *
   * @param nowMillis replicated time in milliseconds since the epoch
   * @return true before {@code endsMillis}, or always if it is empty
   */
  public boolean isInForce(long nowMillis) {
    return endsMillis.isEmpty() || nowMillis < endsMillis.getAsLong();
  }

  /** The value of an exception; its type depends on the {@link ExceptionKind}. */
  public sealed interface Value {}

  /** The absent value of a {@link ExceptionKind#WORKER_OUT}. */
  public record NoValue() implements Value {}

  /**
   * The value of a {@link ExceptionKind#TEAM_QUOTA}.
   *
   * @param quota maximum resources that the team may hold at a time
   */
  public record Quota(ResourceVector quota) implements Value {}

  /**
   * The value of a {@link ExceptionKind#TEAM_WEIGHT}.
   *
   * @param weight weight of the team in dominant-resource fairness, above 0
   */
  public record Weight(double weight) implements Value {}

  /**
   * The value of a {@link ExceptionKind#SERVICE_LIMIT}.
   *
   * @param limits limits of the service; an empty limit is not overridden
   */
  public record Limits(ServiceLimits limits) implements Value {}
}
