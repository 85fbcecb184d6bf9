package org.hickoryspar.node.control;

import com.google.protobuf.ByteString;

/**
 * A deterministic state machine that committed commands are applied to, on one thread.
 *
 * @param <R> the type of a command's result
 */
public interface StateMachine<R> {

  /**
   * Applies a committed command.
   *
   * @param index its log index
   * @param command the command
   * @return the result, which completes the proposal on the replica that proposed the command
   */
  R apply(long index, ByteString command);

  /**
   * Serializes the whole state.
   *
   * @return a snapshot for {@link #restore}
   */
  ByteString snapshot();

  /**
   * Replaces the state with a snapshot.
   *
   * @param snapshot a snapshot that {@link #snapshot} returned, on any replica
   */
  void restore(ByteString snapshot);
}
