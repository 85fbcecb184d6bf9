package org.hickoryspar.kernel.replication;

import org.hickoryspar.protocol.ReplicationMessage;

/** The clock, the network and the event queue that simulated replicas share. */
interface SimulatedCluster {

  /** Returns the limits and timeouts of all replicas. */
  ReplicaOptions options();

  /** Returns the simulated time. */
  long nowNanos();

  /** Runs an action of a replica after a delay, unless its process has ended by then. */
  void schedule(SimulatedReplica replica, long delayNanos, Runnable action);

  /** Sends a message, which may be delayed or lost. */
  void send(SimulatedReplica from, ReplicationMessage message);

  /** Handles the end of a membership change or of a leadership transfer. */
  void onChangeCompleted(long requestId);

  /** Handles the rejection of a request. */
  default void onRejected(long requestId) {}

  /** Writes a line to the trace, if there is one. */
  void log(String text);
}
