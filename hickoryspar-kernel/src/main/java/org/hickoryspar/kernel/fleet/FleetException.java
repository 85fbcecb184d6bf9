package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import org.hickoryspar.kernel.scheduling.ResourceVector;

/**
 * A deviation from the defaults, with an owner and a reason.
 *
 * @param id identifier, unique in the document
 * @param kind what it changes
 * @param target the worker, team or service
 * @param value the value in force instead
 * @param owner the operator who is responsible for it
 * @param reason why it exists, for people
 * @param createdMillis replicated time of its creation
 * @param endsMillis replicated time from which it has no effect, or empty
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
   * Checks the components.
   *
   * @throws IllegalArgumentException if the owner or the reason is blank
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
   * Returns whether the exception has an effect.
   *
   * @param nowMillis replicated time
   * @return false once it has ended
   */
  public boolean isInForce(long nowMillis) {
    return endsMillis.isEmpty() || nowMillis < endsMillis.getAsLong();
  }

  /** The value of an exception. */
  public sealed interface Value {}

  /** The value of an exception that needs none. */
  public record NoValue() implements Value {}

  /**
   * A quota.
   *
   * @param quota the most that the team may hold
   */
  public record Quota(ResourceVector quota) implements Value {}

  /**
   * A weight.
   *
   * @param weight the weight, above 0
   */
  public record Weight(double weight) implements Value {}

  /**
   * Limits of a service.
   *
   * @param policy the limits; an empty one does not change
   */
  public record Limits(ServicePolicy policy) implements Value {}
}
