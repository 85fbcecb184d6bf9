package org.hickoryspar.kernel.replication;

/**
 * Limits and time-outs of a replica. All replicas of a cluster use the same values: a lease is safe
 * only while the others wait for at least the shortest election timeout.
 *
 * @param electionTimeoutMinMillis shortest election timeout
 * @param electionTimeoutMaxMillis longest election timeout
 * @param heartbeatIntervalMillis time between heartbeats of the leader
 * @param leaseMillis length of the leader lease, measured from when a round was sent
 * @param clockDriftPercent share of the lease that is given up for differences between clocks
 * @param maxBatchEntries most entries in a message
 * @param maxBatchBytes size after which no entry is added to a message
 * @param maxInFlightAppends most messages with entries that wait for an answer, per replica
 * @param snapshotChunkBytes size of the parts in which a snapshot is sent
 * @param snapshotIntervalEntries entries between snapshots
 * @param retainedEntries entries before a snapshot that are kept for replicas that lag a little
 * @param maxPromotionLagEntries most entries that a learner may lag when it becomes a voter
 * @param membershipChangeTimeoutMillis longest time that a learner may take to catch up
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
    int retainedEntries,
    int maxPromotionLagEntries,
    long membershipChangeTimeoutMillis) {

  /**
   * Checks that the lease ends before any other replica may be elected.
   *
   * @throws IllegalArgumentException if the time-outs contradict each other
   */
  public ReplicaOptions {
    if (heartbeatIntervalMillis <= 0
        || heartbeatIntervalMillis >= leaseMillis
        || leaseMillis > electionTimeoutMinMillis
        || electionTimeoutMinMillis >= electionTimeoutMaxMillis) {
      throw new IllegalArgumentException(
          "expected heartbeat < lease <= shortest election timeout < longest election timeout");
    }
    if (clockDriftPercent < 0 || clockDriftPercent >= 100) {
      throw new IllegalArgumentException("expected a drift margin of 0 to 99 percent");
    }
  }

  /**
   * Returns the values of the design.
   *
   * @return election timeout 1,000 to 2,000 ms, heartbeat 150 ms, lease 800 ms less 10%
   */
  public static ReplicaOptions defaults() {
    return new ReplicaOptions(
        1_000, 2_000, 150, 800, 10, 512, 512 << 10, 16, 256 << 10, 1_000, 1_000, 64, 60_000);
  }

  /**
   * Returns the values for replicas that are some ten milliseconds apart, where a leader that is
   * lost must be replaced within a second.
   *
   * @return election timeout 450 to 800 ms, heartbeat 80 ms, lease 400 ms less 10%
   */
  public static ReplicaOptions fastFailover() {
    return new ReplicaOptions(
        450, 800, 80, 400, 10, 512, 512 << 10, 16, 256 << 10, 1_000, 1_000, 64, 60_000);
  }

  long leaseNanos() {
    return millisToNanos(leaseMillis) / 100 * (100 - clockDriftPercent);
  }

  static long millisToNanos(long millis) {
    return millis * 1_000_000;
  }
}
