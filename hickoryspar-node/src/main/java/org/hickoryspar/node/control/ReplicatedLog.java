package org.hickoryspar.node.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.ReplicationMessage;

/**
 * One replica of the replicated log. Replica identifiers have the form {@code
 * instanceId/incarnation}; the part before the slash is the instance that messages are sent to.
 *
 * @param <R> the type of a command's result
 */
public interface ReplicatedLog<R> extends AutoCloseable {

  /**
   * Proposes a command.
   *
   * @param command the command
   * @return the result of the command, once it is committed and applied on this replica; a failure
   *     {@code "not-leader"} or {@code "unavailable"} if it was not appended and will not be, a
   *     failure {@code "unknown"} if it may still be committed
   */
  CompletableFuture<Result<R>> propose(ByteString command);

  /**
   * Confirms the leadership of this replica with a majority and waits until it has applied all
   * entries that were committed before the call. Subsequent reads of the state are linearizable.
   *
   * @return the applied index, or a failure {@code "not-leader"}
   */
  CompletableFuture<Result<Long>> readBarrier();

  /**
   * Handles a message from another replica; never blocks.
   *
   * @param message the message
   */
  void receive(ReplicationMessage message);

  /**
   * Returns the state of this replica. Cheap enough to be called before each grant of a lease.
   *
   * @return the status at the time of the call
   */
  Status status();

  /**
   * Transfers leadership to the voter with the least lag.
   *
   * @return the identifier of the new leader, or a failure
   */
  CompletableFuture<Result<String>> transferLeadership();

  /**
   * Adds a replica as a learner and promotes it to a voter after it has caught up.
   *
   * @param replicaId the new replica
   * @param replaces voter to remove afterwards, if any
   * @return a description of the change once it is committed, or a failure
   */
  CompletableFuture<Result<String>> addVoter(String replicaId, Optional<String> replaces);

  /**
   * Removes a voter or a learner.
   *
   * @param replicaId the replica
   * @return a description of the change once it is committed, or a failure
   */
  CompletableFuture<Result<String>> removeReplica(String replicaId);

  @Override
  void close();

  /**
   * State of a replica.
   *
   * @param replicaId this replica
   * @param role {@code "leader"}, {@code "follower"}, {@code "candidate"} or {@code "learner"}
   * @param term current term
   * @param leaderId the leader, if known
   * @param holdsLease whether this replica is the leader and holds the leader lease; false as soon
   *     as the lease has expired, and until the leader has applied an entry of its own term
   * @param commitIndex highest committed index
   * @param logBytes size of the log entries that the replica has not compacted
   * @param appliedIndex highest applied index
   * @param voters the voters
   * @param learners the learners
   * @param matchIndexes on the leader, the highest index synced to the disk of each replica
   */
  record Status(
      String replicaId,
      String role,
      long term,
      Optional<String> leaderId,
      boolean holdsLease,
      long commitIndex,
      long logBytes,
      long appliedIndex,
      List<String> voters,
      List<String> learners,
      Map<String, Long> matchIndexes) {}
}
