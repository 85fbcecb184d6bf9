package org.hickoryspar.bench;

import java.util.ServiceLoader;
import java.util.stream.Collectors;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;

/**
 * A scheduler with a placement policy.
 *
 * @param scheduler registered name of the scheduler
 * @param placementPolicy registered name of the policy; a scheduler without policies ignores it
 */
public record Variant(String scheduler, String placementPolicy) {

  /**
   * Parses a variant.
   *
   * @param text {@code "scheduler"} or {@code "scheduler:policy"}
   * @param defaultPolicy policy of a text that names none
   * @return the variant
   */
  public static Variant parse(String text, String defaultPolicy) {
    int colon = text.indexOf(':');
    return colon < 0
        ? new Variant(text, defaultPolicy)
        : new Variant(text.substring(0, colon), text.substring(colon + 1));
  }

  /**
   * Creates the scheduler through the {@link ServiceLoader}.
   *
   * @return a new scheduler without workers and jobs
   * @throws IllegalArgumentException if no scheduler is registered under the name
   */
  public Scheduler newScheduler() {
    ServiceLoader<SchedulerFactory> factories = ServiceLoader.load(SchedulerFactory.class);
    for (SchedulerFactory factory : factories) {
      if (factory.name().equals(scheduler)) {
        return factory.create();
      }
    }
    String known =
        factories.stream().map(p -> p.get().name()).sorted().collect(Collectors.joining(", "));
    throw new IllegalArgumentException("unknown scheduler " + scheduler + ", expected " + known);
  }

  @Override
  public String toString() {
    return scheduler + ':' + placementPolicy;
  }
}
