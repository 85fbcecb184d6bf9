package org.hickoryspar.kernel.control;

import java.util.UUID;

/** Reads the creation time of idempotency keys, which are UUIDs of version 7 (RFC 9562). */
final class IdempotencyKeyTime {

  private static final int TIMESTAMP_SHIFT_BITS = 16;
  private static final int TIME_ORDERED_VERSION = 7;

  private IdempotencyKeyTime() {}

  /** Returns the time in the key, or 0, and so an expired one, when the key has none. */
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
