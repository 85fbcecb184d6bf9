package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.UUID;
import java.util.regex.Pattern;
import org.hickoryspar.kernel.value.Result;

/** Checks idempotency keys, which are UUIDs of version 7 (RFC 9562) and contain their time. */
public final class IdempotencyKeys {

  /** Age from which a key is rejected; outcomes are kept at least this long. */
  public static final long MAX_AGE_MILLIS = 24 * 3_600_000L;

  /** How far ahead a caller's clock may be. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 5 * 60_000L;

  private static final Pattern UUID_V7 =
      Pattern.compile(
          "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

  private IdempotencyKeys() {}

  /**
   * Checks the form and the age of a key.
   *
   * @param key the text of the key
   * @param nowMillis milliseconds since 1970
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
      return Result.failure("key-in-future", "Idempotency-Key lies more than 5 minutes ahead");
    }
    if (creationMillis < nowMillis - MAX_AGE_MILLIS) {
      return Result.failure("key-expired", "Idempotency-Key is older than 24 hours");
    }
    return Result.success(uuid);
  }

  /**
   * Makes a key.
   *
   * @param nowMillis milliseconds since 1970, the time of the key
   * @param randomHigh source of 12 random bits
   * @param randomLow source of 62 random bits
   * @return a UUID of version 7
   */
  public static UUID of(long nowMillis, long randomHigh, long randomLow) {
    long high = (nowMillis << 16) | 0x7000L | (randomHigh & 0xfffL);
    long low = (randomLow & 0x3fff_ffff_ffff_ffffL) | 0x8000_0000_0000_0000L;
    return new UUID(high, low);
  }
}
