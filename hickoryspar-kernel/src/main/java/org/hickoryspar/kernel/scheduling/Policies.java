package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ServiceLoader;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The policies of a scheduler that the fleet configuration does not select.
 *
 * @param queue orders the teams
 * @param preemption determines the cost of victims
 * @param estimator estimates run times
 */
public record Policies(QueuePolicy queue, PreemptionPolicy preemption, RunTimeEstimator estimator) {

  /**
   * Rejects null components.
   *
   * @throws NullPointerException if a component is null
   */
  public Policies {
    requireNonNull(queue, "queue is null");
    requireNonNull(preemption, "preemption is null");
    requireNonNull(estimator, "estimator is null");
  }

  /**
   * Loads registered policies by name.
   *
   * @param queue name of the queue policy
   * @param preemption name of the preemption policy
   * @param estimator name of the run time estimator
   * @return new policies; their estimator is not shared with other schedulers
   * @throws IllegalArgumentException if a name is not registered
   */
  public static Policies named(String queue, String preemption, String estimator) {
    return new Policies(
        find(QueuePolicy.class, QueuePolicy::name, queue),
        find(PreemptionPolicy.class, PreemptionPolicy::name, preemption),
        find(RunTimeEstimator.class, RunTimeEstimator::name, estimator));
  }

  /** Returns the registered placement policies by name. */
  static TreeMap<String, PlacementPolicy> placementPolicies() {
    return load(PlacementPolicy.class, PlacementPolicy::name);
  }

  private static <P> P find(Class<P> type, Function<P, String> nameOf, String name) {
    TreeMap<String, P> registered = load(type, nameOf);
    P policy = registered.get(name);
    if (policy == null) {
      throw new IllegalArgumentException(
          "no " + type.getSimpleName() + " named " + name + ", registered: " + registered.keySet());
    }
    return policy;
  }

  private static <P> TreeMap<String, P> load(Class<P> type, Function<P, String> nameOf) {
    TreeMap<String, P> registered = new TreeMap<>();
    ServiceLoader.load(type).forEach(policy -> registered.put(nameOf.apply(policy), policy));
    return registered;
  }
}
