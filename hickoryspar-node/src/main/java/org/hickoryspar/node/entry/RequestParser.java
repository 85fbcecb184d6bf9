package org.hickoryspar.node.entry;

import java.time.Clock;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.hickoryspar.kernel.requests.IdempotencyKeys;
import org.hickoryspar.kernel.value.Result;
import org.jspecify.annotations.Nullable;

/** Parses and validates the headers of a request to a service. */
final class RequestParser {

  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

  /** Bounds the time that a request may stay in memory. */
  private static final long MAX_DEADLINE_MILLIS = 3_600_000;

  private final Clock wallClock;
  private final LongSupplier monotonicMillis;

  RequestParser(Clock wallClock, LongSupplier monotonicMillis) {
    this.wallClock = wallClock;
    this.monotonicMillis = monotonicMillis;
  }

  /** Returns the parameters, or a failure with the code {@code malformed} or one for the key. */
  Result<ServiceCall.Parameters> parse(
      String team, String service, HttpFields headers, byte[] body) {
    Result<Boolean> idempotentFlag = parseFlag(headers, "Hickoryspar-Idempotent");
    Result<Boolean> urgentFlag = parseFlag(headers, "Hickoryspar-Urgent");
    Result<Long> deadlineHeader = parseTimeout(headers.get("Hickoryspar-Deadline-Millis"));
    return idempotentFlag.flatMap(
        idempotent ->
            urgentFlag.flatMap(
                urgent ->
                    deadlineHeader.flatMap(
                        timeoutMillis ->
                            parseKey(headers.get("Idempotency-Key"), idempotent)
                                .map(
                                    key ->
                                        newParameters(
                                            team,
                                            service,
                                            key,
                                            body,
                                            idempotent,
                                            urgent,
                                            timeoutMillis)))));
  }

  private ServiceCall.Parameters newParameters(
      String team,
      String service,
      String key,
      byte[] body,
      boolean idempotent,
      boolean urgent,
      long timeoutMillis) {
    long nowMillis = monotonicMillis.getAsLong();
    return new ServiceCall.Parameters(
        team,
        service,
        key,
        newUuid(),
        body,
        idempotent,
        urgent,
        nowMillis,
        nowMillis + timeoutMillis);
  }

  private Result<String> parseKey(@Nullable String text, boolean idempotent) {
    if (text == null) {
      return idempotent
          ? Result.success(newUuid())
          : Result.failure("malformed", "Idempotency-Key is missing in a non-idempotent request");
    }
    return IdempotencyKeys.check(text, wallClock.millis()).map(UUID::toString);
  }

  private String newUuid() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return IdempotencyKeys.of(wallClock.millis(), random.nextLong(), random.nextLong()).toString();
  }

  private static Result<Boolean> parseFlag(HttpFields headers, String name) {
    String value = headers.get(name);
    if (value == null || value.equals("false")) {
      return Result.success(false);
    }
    return value.equals("true")
        ? Result.success(true)
        : Result.failure("malformed", name + " must be true or false");
  }

  private static Result<Long> parseTimeout(@Nullable String text) {
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
