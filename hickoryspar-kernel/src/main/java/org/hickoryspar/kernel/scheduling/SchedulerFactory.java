package org.hickoryspar.kernel.scheduling;

/** A plug-in that makes schedulers; registered in {@code META-INF/services}. */
public interface SchedulerFactory {

  /**
   * Returns the name under which settings choose the scheduler.
   *
   * @return the name, for example {@code "guarantee"} or {@code "first-fit"}
   */
  String name();

  /**
   * Makes a scheduler without workers, jobs or configuration.
   *
   * @return a new scheduler
   */
  Scheduler create();
}
