package org.hickoryspar.kernel.scheduling;

/** Creates {@link GuaranteeScheduler}s with the default policies. */
public final class GuaranteeSchedulerFactory implements SchedulerFactory {

  /** Creates the factory; called by {@code ServiceLoader}. */
  public GuaranteeSchedulerFactory() {}

  @Override
  public String name() {
    return "guarantee";
  }

  @Override
  public Scheduler create() {
    return new GuaranteeScheduler(Policies.named("dominant-resource", "work-lost", "learned"));
  }
}
