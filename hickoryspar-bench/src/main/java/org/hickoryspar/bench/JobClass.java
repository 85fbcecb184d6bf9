package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.GangShape;

/**
 * Jobs of one sort in a generated workload.
 *
 * @param name name of the class in reports; also the jobs' kind
 * @param jobsPerDay mean number of submissions in 24 h
 * @param urgent whether the jobs belong to the urgent class
 * @param preemptibleShare share of the jobs that may be preempted, 0 to 1
 * @param shapes shapes that are drawn with equal probability; a repeated shape is drawn more often
 * @param medianRunSeconds median of the true run time
 * @param arrival how submissions are spread over the day
 */
public record JobClass(
    String name,
    double jobsPerDay,
    boolean urgent,
    double preemptibleShare,
    List<GangShape> shapes,
    double medianRunSeconds,
    Arrival arrival) {

  /** How submissions are spread over a day. */
  public enum Arrival {
    /** A Poisson process whose rate is higher during the day than at night. */
    DAYTIME,
    /** Groups of 5 to 40 jobs that one team submits within seconds. */
    BURSTS,
    /** All jobs between 18:00 and 20:00. */
    EVENING
  }

  /** Copies the shapes. */
  public JobClass {
    shapes = List.copyOf(shapes);
  }
}
