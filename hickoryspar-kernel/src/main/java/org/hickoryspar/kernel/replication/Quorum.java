package org.hickoryspar.kernel.replication;

import java.util.Collection;
import java.util.List;
import java.util.function.ToLongFunction;

/** Computes the values that a majority of the voters has reached. */
final class Quorum {

  private Quorum() {}

  /**
   * Returns the highest value that more than half of the voters have reached, or {@code
   * Long.MIN_VALUE / 2} without voters.
   */
  static long majorityValue(List<String> voters, ToLongFunction<String> valueOf) {
    long[] values = voters.stream().mapToLong(valueOf).sorted().toArray();
    return values.length == 0 ? Long.MIN_VALUE / 2 : values[values.length - 1 - values.length / 2];
  }

  static boolean isMajority(List<String> voters, Collection<String> members) {
    return !voters.isEmpty() && majorityValue(voters, v -> members.contains(v) ? 1 : 0) == 1;
  }
}
