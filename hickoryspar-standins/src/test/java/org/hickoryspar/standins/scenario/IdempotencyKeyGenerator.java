package org.hickoryspar.standins.scenario;

import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;

/** Generates idempotency keys, which are UUIDs of version 7 (RFC 9562). */
final class IdempotencyKeyGenerator {

  private IdempotencyKeyGenerator() {}

  static String newKey() {
    long random = ThreadLocalRandom.current().nextLong();
    long mostSignificantBits = System.currentTimeMillis() << 16 | 0x7000L | (random & 0xfffL);
    return new UUID(mostSignificantBits, random >>> 2 | 0x8000000000000000L).toString();
  }
}
