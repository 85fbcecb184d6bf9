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
   * @return the result, given to the proposer on the replica that proposed it
   */
  R apply(long index, ByteString command);

  /**
   * Writes the whole state.
   *
   * @return the state as bytes
   */
  ByteString snapshot();

  /**
   * Replaces the state.
   *
   * @param snapshot bytes that {@link #snapshot} returned
   */
  void restore(ByteString snapshot);
}
