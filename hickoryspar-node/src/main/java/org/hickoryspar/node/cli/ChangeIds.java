package org.hickoryspar.node.cli;

import java.security.SecureRandom;
import java.util.UUID;

/** Creates identifiers for changes and jobs: UUIDs of version 7 (RFC 9562). */
final class ChangeIds {

  private static final SecureRandom RANDOM = new SecureRandom();

  private ChangeIds() {}

  static String generate() {
    return of(System.currentTimeMillis(), RANDOM.nextLong(), RANDOM.nextLong());
  }

  /** Combines 48 bits of time, the version, the variant and 74 random bits. */
  static String of(long timeMillis, long randomHigh, long randomLow) {
    long high = (timeMillis << 16) | 0x7000L | (randomHigh & 0x0fffL);
    long low = 0x8000_0000_0000_0000L | (randomLow & 0x3fff_ffff_ffff_ffffL);
    return new UUID(high, low).toString();
  }
}
