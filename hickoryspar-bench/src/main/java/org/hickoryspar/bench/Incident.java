package org.hickoryspar.bench;

import java.util.List;

/**
 * An event of a workload that the scheduler does not control: a failure, or an action of operators
 * or teams. All times are in milliseconds from the start of the run.
 */
public sealed interface Incident {

  /**
   * Returns the start of the incident.
   *
   * @return milliseconds from the start of the run
   */
  long atMillis();

  /**
   * Teams cancel many jobs at once.
   *
   * @param atMillis time of the cancellation
   * @param jobIds the jobs; those that have ended are skipped
   */
  record MassCancellation(long atMillis, List<String> jobIds) implements Incident {

    /** Copies the list of jobs, which must not contain null. */
    public MassCancellation {
      jobIds = List.copyOf(jobIds);
    }
  }

  /**
   * Operators take a data centre out of service, its workers become silent, and later both the
   * workers and the data centre return.
   *
   * @param atMillis time from which no task may start in the data centre
   * @param dataCentre the data centre
   * @param silentMillis time at which its workers stop responding
   * @param returnMillis time at which its workers respond again and it returns to service
   */
  record DataCentreOutage(long atMillis, String dataCentre, long silentMillis, long returnMillis)
      implements Incident {}

  /**
   * A worker fails every task that starts on it.
   *
   * @param atMillis time from which tasks fail
   * @param workerId the worker
   * @param repairMillis time from which tasks succeed again
   */
  record FaultyWorker(long atMillis, String workerId, long repairMillis) implements Incident {}

  /**
   * A worker becomes silent and returns.
   *
   * @param atMillis time at which the worker stops responding
   * @param workerId the worker
   * @param returnMillis time at which it responds again
   */
  record WorkerOutage(long atMillis, String workerId, long returnMillis) implements Incident {}
}
