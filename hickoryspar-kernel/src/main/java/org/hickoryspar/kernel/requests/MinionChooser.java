package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a minion for a request: the less loaded of two random minions among the nearest ones with
 * a free slot.
 *
 * <p>The power of two random choices balances the load almost evenly. Choosing the minimum over
 * stale load information would make all entries prefer the same minion.
 */
public final class MinionChooser {

  private MinionChooser() {}

  /**
   * Chooses one of the candidates.
   *
   * @param candidates the minions that may receive the request
   * @param random random number generator
   * @param <T> type that identifies a minion
   * @return the chosen minion, or empty if no candidate has a free slot
   */
  public static <T> Optional<T> choose(List<Candidate<T>> candidates, RandomGenerator random) {
    requireNonNull(candidates, "candidates is null");
    requireNonNull(random, "random is null");
    List<Candidate<T>> nearest = new ArrayList<>();
    int minDistance = Integer.MAX_VALUE;
    for (Candidate<T> candidate : candidates) {
      if (candidate.inUse < candidate.slots && candidate.distance <= minDistance) {
        if (candidate.distance < minDistance) {
          nearest.clear();
          minDistance = candidate.distance;
        }
        nearest.add(candidate);
      }
    }
    if (nearest.isEmpty()) {
      return Optional.empty();
    }
    int count = nearest.size();
    int first = random.nextInt(count);
    int second = count == 1 ? first : (first + 1 + random.nextInt(count - 1)) % count;
    Candidate<T> a = nearest.get(first);
    Candidate<T> b = nearest.get(second);
    return Optional.of(a.load() <= b.load() ? a.minion : b.minion);
  }

  /**
   * A minion that may be chosen.
   *
   * @param minion identifies the minion
   * @param distance 0 for the same data centre, 1 for the same region, 2 for elsewhere
   * @param inUse number of slots of the minion that this entry uses
   * @param slots number of slots of the minion that this entry may use
   * @param <T> type that identifies a minion
   */
  public record Candidate<T>(T minion, int distance, int inUse, int slots) {
    private double load() {
      return (double) inUse / slots;
    }
  }
}
