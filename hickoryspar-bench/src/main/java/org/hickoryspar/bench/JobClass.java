package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.GangShape;

/**
 * A class of jobs in a generated workload.
 *
 * @param name name of the class in reports; also the kind of its jobs
 * @param jobsPerDay mean number of submissions in 24 hours
 * @param urgent whether the jobs belong to the urgent class
 * @param preemptibleShare share of the jobs that may be preempted, 0 to 1
 * @param shapes shapes of the jobs, drawn with equal probability; a repeated shape is drawn more
 *     often
 * @param medianRunSeconds median of the true run time
 * @param arrival distribution of the submissions over the day
 */
public record JobClass(
    String name,
    double jobsPerDay,
    boolean urgent,
    double preemptibleShare,
    List<GangShape> shapes,
    double medianRunSeconds,
    Arrival arrival) {

  /** The distribution of submissions over a day. */
  public enum Arrival {
    /** A Poisson process whose rate is higher during the day than at night. */
    DAYTIME,
    /** Bursts of 5 to 35 jobs that one team submits within 5 s. */
    BURSTS,
    /** All jobs between 18:00 and 20:00. */
    EVENING
  }

  /** Copies the list of shapes, which must not contain null. */
  public JobClass {
    shapes = List.copyOf(shapes);
  }
}
