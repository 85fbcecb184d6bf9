package org.hickoryspar.kernel.scheduling.firstfit;

import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;

/** Creates {@link FirstFitScheduler}s under the name {@code "first-fit"}. */
public final class FirstFitSchedulerFactory implements SchedulerFactory {

  /** Creates the factory; called by {@link java.util.ServiceLoader}. */
  public FirstFitSchedulerFactory() {}

  @Override
  public String name() {
    return "first-fit";
  }

  @Override
  public Scheduler create() {
    return new FirstFitScheduler();
  }
}
