package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.protocol.Command;

/** Applies committed commands to the control state and notifies listeners. */
public final class ControlStateMachine implements StateMachine<CommandResult> {

  private final ControlState state;
  private final List<BiConsumer<Command, CommandResult>> listeners = new CopyOnWriteArrayList<>();

  /**
   * Creates a state machine.
   *
   * @param state the state that commands are applied to
   */
  public ControlStateMachine(ControlState state) {
    this.state = requireNonNull(state, "state is null");
  }

  /**
   * Adds a listener that receives each command and its result after the command was applied, on the
   * thread that applies commands.
   *
   * @param listener the listener, which must not block
   */
  public void addListener(BiConsumer<Command, CommandResult> listener) {
    listeners.add(requireNonNull(listener, "listener is null"));
  }

  @Override
  public CommandResult apply(long index, ByteString bytes) {
    Command command;
    try {
      command = Command.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("log entry " + index + " is not a command", e);
    }
    CommandResult result = state.apply(command);
    for (BiConsumer<Command, CommandResult> listener : listeners) {
      listener.accept(command, result);
    }
    return result;
  }

  @Override
  public ByteString snapshot() {
    return state.snapshot();
  }

  @Override
  public void restore(ByteString snapshot) {
    state.restore(snapshot);
  }
}
