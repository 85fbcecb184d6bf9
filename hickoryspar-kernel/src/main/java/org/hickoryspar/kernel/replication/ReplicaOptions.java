package org.hickoryspar.kernel.replication;

/**
 * Limits and time-outs of a replica. All replicas of a cluster use the same values: a lease is safe
 * only while the others wait for at least the shortest election timeout.
 *
 * @param electionTimeoutMinMillis shortest election timeout
 * @param electionTimeoutMaxMillis longest election timeout
 * @param heartbeatMillis time between heartbeats of the leader
 * @param leaseMillis length of the leader lease, measured from when a round was sent
 * @param driftPercent share of the lease that is given up for differences between clocks
 * @param batchEntries most entries in a message
 * @param batchBytes size after which no entry is added to a message
 * @param inFlightMessages most messages with entries that wait for an answer, per replica
 * @param snapshotChunkBytes size of the parts in which a snapshot is sent
 * @param snapshotEveryEntries entries between snapshots
 * @param retainedEntries entries before a snapshot that are kept for replicas that lag a little
 * @param catchUpEntries most entries that a learner may lag when it becomes a voter
 * @param membershipTimeoutMillis longest time that a learner may take to catch up
 */
public record ReplicaOptions(
    long electionTimeoutMinMillis,
    long electionTimeoutMaxMillis,
    long heartbeatMillis,
    long leaseMillis,
    int driftPercent,
    int batchEntries,
    int batchBytes,
    int inFlightMessages,
    int snapshotChunkBytes,
    int snapshotEveryEntries,
    int retainedEntries,
    int catchUpEntries,
    long membershipTimeoutMillis) {

  /**
   * Checks that the lease ends before any other replica may be elected.
   *
   * @throws IllegalArgumentException if the time-outs contradict each other
   */
  public ReplicaOptions {
    if (heartbeatMillis <= 0
        || heartbeatMillis >= leaseMillis
        || leaseMillis > electionTimeoutMinMillis
        || electionTimeoutMinMillis >= electionTimeoutMaxMillis) {
      throw new IllegalArgumentException(
          "expected heartbeat < lease <= shortest election timeout < longest election timeout");
    }
    if (driftPercent < 0 || driftPercent >= 100) {
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
  public static ReplicaOptions quickElections() {
    return new ReplicaOptions(
        450, 800, 80, 400, 10, 512, 512 << 10, 16, 256 << 10, 1_000, 1_000, 64, 60_000);
  }

  long leaseNanos() {
    return nanos(leaseMillis) / 100 * (100 - driftPercent);
  }

  static long nanos(long millis) {
    return millis * 1_000_000;
  }
}
