package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses a minion: the nearest data centres that have a free slot, and among these the less loaded
 * of two random ones.
 *
 * <p>Two random choices spread the load almost evenly without making all entries prefer the same
 * minion, as a strict minimum over stale information would.
 */
public final class MinionChooser {

  private MinionChooser() {}

  /**
   * Chooses among candidates.
   *
   * @param candidates the minions that may be used
   * @param random source of chance
   * @param <T> what identifies a minion
   * @return the choice, or empty when no candidate has a free slot
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
   * @param minion what identifies it
   * @param distance 0 for the same data centre, 1 for the same region, 2 for elsewhere
   * @param inUse requests of this entry that run there
   * @param slots the share of this entry
   * @param <T> what identifies a minion
   */
  public record Candidate<T>(T minion, int distance, int inUse, int slots) {
    private double load() {
      return (double) inUse / slots;
    }
  }
}
