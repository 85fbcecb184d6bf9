package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.UUID;
import java.util.regex.Pattern;
import org.hickoryspar.kernel.value.Result;

/** Creates and validates idempotency keys, which are UUIDv7 (RFC 9562) with a creation time. */
public final class IdempotencyKeys {

  /** Maximum age of a key; outcomes are kept at least this long. */
  public static final long MAX_AGE_MILLIS = 24 * 3_600_000L;

  /** Maximum time by which the clock of a caller may be ahead. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 5 * 60_000L;

  private static final Pattern UUID_V7 =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

  private IdempotencyKeys() {}

  /**
   * Validates the format and the age of a key.
   *
   * @param key text of the key
   * @param nowMillis wall-clock time in milliseconds since the epoch
   * @return the key, or a failure with the code {@code malformed-key}, {@code key-in-future} or
   *     {@code key-expired}
   */
  public static Result<UUID> check(String key, long nowMillis) {
    requireNonNull(key, "key is null");
    if (!UUID_V7.matcher(key).matches()) {
      return Result.failure("malformed-key", "Idempotency-Key must be a UUID of version 7");
    }
    UUID uuid = UUID.fromString(key);
    long creationMillis = uuid.getMostSignificantBits() >>> 16;
    if (creationMillis > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
      return Result.failure(
          "key-in-future", "Idempotency-Key is more than 5 minutes in the future");
    }
    if (creationMillis < nowMillis - MAX_AGE_MILLIS) {
      return Result.failure("key-expired", "Idempotency-Key is older than 24 hours");
    }
    return Result.success(uuid);
  }

  /**
   * Creates a key from a time and random bits.
   *
   * @param nowMillis creation time of the key in milliseconds since the epoch
   * @param randomHigh random bits, of which the lowest 12 are used
   * @param randomLow random bits, of which the lowest 62 are used
   * @return a UUIDv7
   */
  public static UUID of(long nowMillis, long randomHigh, long randomLow) {
    long high = (nowMillis << 16) | 0x7000L | (randomHigh & 0xfffL);
    long low = (randomLow & 0x3fff_ffff_ffff_ffffL) | 0x8000_0000_0000_0000L;
    return new UUID(high, low);
  }
}
