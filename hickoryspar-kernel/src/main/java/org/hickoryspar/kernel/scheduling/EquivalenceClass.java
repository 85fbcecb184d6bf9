package org.hickoryspar.kernel.scheduling;

import java.util.Comparator;
import java.util.TreeSet;

/** Waiting jobs of a team that the scheduler treats alike: if one cannot start, none can. */
final class EquivalenceClass {

  private static final Comparator<JobRequest> ORDER =
      Comparator.comparingLong(JobRequest::submittedMillis).thenComparing(JobRequest::jobId);

  /**
   * The properties that the jobs of a class have in common.
   *
   * @param soloJobId the only job of the class if it has failed before and therefore avoids
   *     workers, else empty
   */
  record Key(
      String team,
      String kind,
      GangShape shape,
      boolean urgent,
      boolean preemptible,
      String soloJobId) {}

  private final Key key;
  private final TreeSet<JobRequest> jobs = new TreeSet<>(ORDER);
  private long failedVersion = -1;

  EquivalenceClass(Key key) {
    this.key = key;
  }

  Key key() {
    return key;
  }

  void add(JobRequest job) {
    jobs.add(job);
  }

  void remove(JobRequest job) {
    jobs.remove(job);
  }

  boolean isEmpty() {
    return jobs.isEmpty();
  }

  int size() {
    return jobs.size();
  }

  JobRequest head() {
    return jobs.first();
  }

  static int compareHeads(EquivalenceClass a, EquivalenceClass b) {
    return ORDER.compare(a.head(), b.head());
  }

  /** Returns whether the last attempt failed at this version of the cluster state. */
  boolean hasFailedAt(long version) {
    return failedVersion == version;
  }

  void markFailedAt(long version) {
    failedVersion = version;
  }
}
