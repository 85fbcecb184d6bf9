package org.hickoryspar.node.entry;

import java.time.Clock;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.hickoryspar.kernel.requests.IdempotencyKeys;
import org.hickoryspar.kernel.value.Result;
import org.jspecify.annotations.Nullable;

/** Reads and checks the headers of a request to a service. */
final class OrderParser {

  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

  /** Longest time that a request may hold a place in memory. */
  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  private final Clock wallClock;
  private final LongSupplier monotonicMillis;

  OrderParser(Clock wallClock, LongSupplier monotonicMillis) {
    this.wallClock = wallClock;
    this.monotonicMillis = monotonicMillis;
  }

  /** Returns the order, or a failure with the code {@code malformed} or one of a bad key. */
  Result<ServiceCall.Order> parse(String team, String service, HttpFields headers, byte[] body) {
    Result<Boolean> idempotent = flag(headers, "Hickoryspar-Idempotent");
    Result<Boolean> urgent = flag(headers, "Hickoryspar-Urgent");
    Result<Long> deadline = deadline(headers.get("Hickoryspar-Deadline-Millis"));
    return idempotent.flatMap(
        mayRepeat ->
            urgent.flatMap(
                first ->
                    deadline.flatMap(
                        millis ->
                            key(headers.get("Idempotency-Key"), mayRepeat)
                                .map(
                                    key ->
                                        order(
                                            team, service, key, body, mayRepeat, first, millis)))));
  }

  private ServiceCall.Order order(
      String team,
      String service,
      String key,
      byte[] body,
      boolean idempotent,
      boolean urgent,
      long deadlineMillis) {
    long now = monotonicMillis.getAsLong();
    return new ServiceCall.Order(
        team, service, key, newKey(), body, idempotent, urgent, now, now + deadlineMillis);
  }

  private Result<String> key(@Nullable String text, boolean idempotent) {
    if (text == null) {
      return idempotent
          ? Result.success(newKey())
          : Result.failure("malformed", "a request that is not idempotent needs Idempotency-Key");
    }
    return IdempotencyKeys.check(text, wallClock.millis()).map(UUID::toString);
  }

  private String newKey() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return IdempotencyKeys.of(wallClock.millis(), random.nextLong(), random.nextLong()).toString();
  }

  private static Result<Boolean> flag(HttpFields headers, String name) {
    String value = headers.get(name);
    if (value == null || value.equals("false")) {
      return Result.success(false);
    }
    return value.equals("true")
        ? Result.success(true)
        : Result.failure("malformed", name + " must be true or false");
  }

  private static Result<Long> deadline(@Nullable String text) {
    if (text == null) {
      return Result.success(DEFAULT_DEADLINE_MILLIS);
    }
    try {
      long millis = Long.parseLong(text);
      if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
        return Result.success(millis);
      }
    } catch (NumberFormatException e) {
      return Result.failure("malformed", "Hickoryspar-Deadline-Millis is not a number");
    }
    return Result.failure(
        "malformed", "Hickoryspar-Deadline-Millis must be from 1 to " + MAX_DEADLINE_MILLIS);
  }
}
