package org.hickoryspar.bench;

import java.util.List;

/** Something that goes wrong, or that operators or teams do, at a given time. */
public sealed interface Incident {

  /**
   * Returns when the incident begins.
   *
   * @return milliseconds from the start of the run
   */
  long atMillis();

  /**
   * Teams cancel many jobs within a second.
   *
   * @param atMillis begin
   * @param jobIds the jobs; those that have ended are skipped
   */
  record MassCancellation(long atMillis, List<String> jobIds) implements Incident {

    /** Copies the jobs. */
    public MassCancellation {
      jobIds = List.copyOf(jobIds);
    }
  }

  /**
   * Operators take a data centre out of service; its workers go silent later, return, and the data
   * centre is taken in again.
   *
   * @param atMillis when nothing may start any more
   * @param dataCentre the data centre
   * @param silentMillis when its workers stop answering
   * @param returnMillis when the workers are back and the data centre is in service
   */
  record DataCentreOutage(long atMillis, String dataCentre, long silentMillis, long returnMillis)
      implements Incident {}

  /**
   * A worker fails every task that starts on it.
   *
   * @param atMillis begin
   * @param workerId the worker
   * @param repairMillis end
   */
  record FaultyWorker(long atMillis, String workerId, long repairMillis) implements Incident {}

  /**
   * A worker stops answering and returns.
   *
   * @param atMillis begin
   * @param workerId the worker
   * @param returnMillis end
   */
  record WorkerOutage(long atMillis, String workerId, long returnMillis) implements Incident {}
}
