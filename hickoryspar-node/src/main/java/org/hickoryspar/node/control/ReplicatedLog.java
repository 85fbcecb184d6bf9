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
   * @return completes when the command is committed and applied here; a failure {@code
   *     "not-leader"} or {@code "unavailable"} means that it was not and will not be appended, a
   *     failure {@code "unknown"} that it may still be committed
   */
  CompletableFuture<Result<R>> propose(ByteString command);

  /**
   * Waits until this replica has confirmed its leadership with a majority and applied all that was
   * committed before the call; reads of the state that follow are linearizable.
   *
   * @return completes with the applied index, or fails with {@code "not-leader"}
   */
  CompletableFuture<Result<Long>> readBarrier();

  /**
   * Handles a message from another replica; never blocks.
   *
   * @param message the message
   */
  void receive(ReplicationMessage message);

  /**
   * Reports the state of the replica. Cheap enough to be called before each grant.
   *
   * @return the status at the time of the call
   */
  Status status();

  /**
   * Hands leadership to the voter that lags least.
   *
   * @return completes when another replica leads, or fails
   */
  CompletableFuture<Result<String>> transferLeadership();

  /**
   * Adds a replica as a learner and makes it a voter once it has caught up. With {@code replaces}
   * the old voter is removed afterwards.
   *
   * @param replicaId the new replica
   * @param replaces the replica that it takes the place of, if any
   * @return completes when the change is committed, or fails
   */
  CompletableFuture<Result<String>> addVoter(String replicaId, Optional<String> replaces);

  /**
   * Removes a voter or a learner.
   *
   * @param replicaId the replica
   * @return completes when the change is committed, or fails
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
   * @param leaderId the leader, when known
   * @param holdsLease whether this replica leads and may grant; false as soon as the leader lease
   *     has lapsed, and until the leader has applied an entry of its own term
   * @param commitIndex highest committed index
   * @param appliedIndex highest applied index
   * @param voters the voters
   * @param learners the learners
   * @param matchIndexes on the leader, the highest index that is synced on each replica
   */
  record Status(
      String replicaId,
      String role,
      long term,
      Optional<String> leaderId,
      boolean holdsLease,
      long commitIndex,
      long appliedIndex,
      List<String> voters,
      List<String> learners,
      Map<String, Long> matchIndexes) {}
}
