package org.hickoryspar.kernel.control;

import java.util.UUID;

/** Extracts the creation time from idempotency keys, which are UUIDv7 (RFC 9562). */
final class IdempotencyKeyTime {

  private static final int TIMESTAMP_SHIFT_BITS = 16;
  private static final int TIME_ORDERED_VERSION = 7;

  private IdempotencyKeyTime() {}

  /**
   * Returns the creation time of a key in milliseconds since the epoch, or 0, which counts as
   * expired, if the key is not a UUIDv7.
   */
  static long creationMillis(String key) {
    try {
      UUID uuid = UUID.fromString(key);
      return uuid.version() == TIME_ORDERED_VERSION
          ? uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS
          : 0;
    } catch (IllegalArgumentException e) {
      return 0;
    }
  }
}
