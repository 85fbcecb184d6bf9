package org.hickoryspar.kernel.scheduling;

/** Creates schedulers; a plug-in registered in {@code META-INF/services}. */
public interface SchedulerFactory {

  /**
   * Returns the name by which settings select the scheduler.
   *
   * @return the name, for example {@code "guarantee"} or {@code "first-fit"}
   */
  String name();

  /**
   * Creates a scheduler without workers, jobs or configuration.
   *
   * @return a new scheduler
   */
  Scheduler create();
}
