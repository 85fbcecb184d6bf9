package org.hickoryspar.kernel.runtime;

/**
 * A logarithmic scale with four bins an octave, from 1 to 2^32. What is replicated uses the integer
 * functions only, whose results are the same on each platform.
 */
final class LogScale {

  /** Number of bins between a value and twice that value. */
  static final int BINS_PER_OCTAVE = 4;

  /** Number of bins of the scale. */
  static final int BINS = 32 * BINS_PER_OCTAVE;

  private static final int MANTISSA_BITS = 30;

  /**
   * Lower edges of the bins of an octave, 2^(bin / 4), with {@link #MANTISSA_BITS} fractional bits.
   * They are constants, because a platform may round a computed power differently.
   */
  private static final long[] BIN_EDGES = {
    1L << MANTISSA_BITS, 1_276_901_417, 1_518_500_250, 1_805_811_301
  };

  private LogScale() {}

  /** Returns the bin of a value; values beyond the scale belong to its first or last bin. */
  static int binOf(long value) {
    if (value <= 1) {
      return 0;
    }
    long mantissa = mantissa(value);
    int bin = 0;
    while (bin + 1 < BINS_PER_OCTAVE && mantissa >= BIN_EDGES[bin + 1]) {
      bin++;
    }
    return Math.min(BINS - 1, octave(value) * BINS_PER_OCTAVE + bin);
  }

  private static int octave(long value) {
    return Long.SIZE - 1 - Long.numberOfLeadingZeros(value);
  }

  private static long mantissa(long value) {
    int shift = octave(value) - MANTISSA_BITS;
    return shift >= 0 ? value >>> shift : value << -shift;
  }

  /** Returns the value at a position; the whole part of a position is the bin. */
  static double valueAt(double position) {
    return Math.pow(2, position / BINS_PER_OCTAVE);
  }

  /** Returns the position of a value on the scale, 0 for values below 1. */
  static double positionOf(double value) {
    return value <= 1 ? 0 : Math.log(value) / Math.log(2) * BINS_PER_OCTAVE;
  }
}
