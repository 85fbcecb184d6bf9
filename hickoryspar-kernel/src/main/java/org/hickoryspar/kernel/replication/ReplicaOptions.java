package org.hickoryspar.kernel.replication;

/**
 * Limits and timeouts of a replica. All replicas of a cluster must use the same values: a leader
 * lease is safe only while the other voters wait for at least the shortest election timeout.
 *
 * @param electionTimeoutMinMillis shortest election timeout
 * @param electionTimeoutMaxMillis longest election timeout
 * @param heartbeatIntervalMillis time between heartbeats of the leader
 * @param leaseMillis length of the leader lease, measured from when a round was sent
 * @param clockDriftPercent margin for clock drift, by which the lease is shortened
 * @param maxBatchEntries greatest number of entries in an append request
 * @param maxBatchBytes greatest size of the entries in an append request with several entries
 * @param maxInFlightAppends greatest number of unacknowledged append requests with entries, per
 *     replica
 * @param snapshotChunkBytes greatest size of a snapshot chunk
 * @param snapshotIntervalEntries greatest number of applied entries between snapshots
 * @param snapshotIntervalBytes size of the applied entries from which on a snapshot is taken
 * @param retainedEntries greatest number of entries before a snapshot that are retained for
 *     replicas that lag slightly
 * @param retainedBytes greatest size of these entries; at least {@code snapshotIntervalBytes}, so
 *     that a snapshot that is being transferred outlives the next one
 * @param maxUncommittedBytes size of the uncommitted entries from which on the leader rejects
 *     proposals
 * @param maxPromotionLagEntries greatest lag at which a learner is promoted to a voter
 * @param membershipChangeTimeoutMillis time after which a membership change fails while its learner
 *     has not caught up or too few voters respond
 */
public record ReplicaOptions(
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long heartbeatIntervalMillis,
    long leaseMillis,
    int clockDriftPercent,
    int maxBatchEntries,
    int maxBatchBytes,
    int maxInFlightAppends,
    int snapshotChunkBytes,
    int snapshotIntervalEntries,
    long snapshotIntervalBytes,
    int retainedEntries,
    long retainedBytes,
    long maxUncommittedBytes,
    int maxPromotionLagEntries,
    long membershipChangeTimeoutMillis) {

  /** A few times the largest command, so that large commands can still share a round trip. */
  private static final long DEFAULT_LOG_BYTES = 8L << 20;

  /**
   * Checks that the lease ends before another replica can be elected, and that the log is bounded.
   *
   * @throws IllegalArgumentException unless the heartbeat interval is positive and shorter than the
   *     lease, the lease is at most as long as the shortest election timeout, this is shorter than
   *     the longest one, the margin for clock drift is 0 to 99 percent, and the limits in bytes are
   *     positive with {@code retainedBytes} at least {@code snapshotIntervalBytes}
   */
  public ReplicaOptions {
    if (heartbeatIntervalMillis <= 0
        || heartbeatIntervalMillis >= leaseMillis
        || leaseMillis > electionTimeoutMinMillis
        || electionTimeoutMinMillis >= electionTimeoutMaxMillis) {
      throw new IllegalArgumentException(
          "expected 0 < heartbeat interval < lease <= shortest election timeout"
              + " < longest election timeout");
    }
    if (clockDriftPercent < 0 || clockDriftPercent >= 100) {
      throw new IllegalArgumentException("expected a margin for clock drift of 0 to 99 percent");
    }
    if (snapshotIntervalBytes <= 0
        || retainedBytes < snapshotIntervalBytes
        || maxUncommittedBytes <= 0) {
      throw new IllegalArgumentException(
          "expected 0 < snapshot interval <= retained bytes, and 0 < uncommitted bytes");
    }
  }

  /**
   * Returns the default values.
   *
   * @return election timeout 1,000 to 2,000 ms, heartbeat 150 ms, lease 800 ms less 10%
   */
  public static ReplicaOptions defaults() {
    return withTimeouts(1_000, 2_000, 150, 800);
  }

  /**
   * Returns values for replicas with network latencies of some ten milliseconds, where a failed
   * leader must be replaced within a second.
   *
   * @return election timeout 450 to 800 ms, heartbeat 80 ms, lease 400 ms less 10%
   */
  public static ReplicaOptions fastFailover() {
    return withTimeouts(450, 800, 80, 400);
  }

  private static ReplicaOptions withTimeouts(
      long electionTimeoutMinMillis,
      long electionTimeoutMaxMillis,
      long heartbeatIntervalMillis,
      long leaseMillis) {
    return new ReplicaOptions(
        electionTimeoutMinMillis,
        electionTimeoutMaxMillis,
        heartbeatIntervalMillis,
        leaseMillis,
        10,
        512,
        512 << 10,
        16,
        256 << 10,
        1_000,
        DEFAULT_LOG_BYTES,
        1_000,
        DEFAULT_LOG_BYTES,
        DEFAULT_LOG_BYTES,
        64,
        60_000);
  }

  long leaseNanos() {
    return millisToNanos(leaseMillis) / 100 * (100 - clockDriftPercent);
  }

  static long millisToNanos(long millis) {
    return millis * 1_000_000;
  }
}
