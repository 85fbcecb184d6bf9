package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.protocol.Command;

/** The services that the leader offers to entries, built from their common dependencies. */
public final class ControlServices {

  private final ConfigService config;
  private final CallDispatcher dispatcher;

  /**
   * Creates the services.
   *
   * @param settings settings of this instance
   * @param state the replicated state
   * @param log the replica of this instance
   * @param proposer proposes commands
   * @param scheduling the scheduling loop
   * @param json reads and writes JSON
   * @param monotonicMillis a clock that never goes back
   * @param jobIds makes unique identifiers of jobs
   */
  public ControlServices(
      Settings settings,
      ControlState state,
      ReplicatedLog<CommandResult> log,
      Proposer proposer,
      SchedulingLoop scheduling,
      ObjectMapper json,
      LongSupplier monotonicMillis,
      Supplier<String> jobIds) {
    requireNonNull(settings, "settings is null");
    JsonAnswers answers = new JsonAnswers(requireNonNull(json, "json is null"));
    int entries =
        (int) settings.instances().stream().filter(i -> i.entryPeerAddress() != null).count();
    config = new ConfigService(state, proposer, monotonicMillis);
    dispatcher =
        new CallDispatcher(
            state,
            log,
            proposer,
            config,
            new SlotService(Math.max(1, entries), monotonicMillis),
            new JobService(state, proposer, scheduling, answers, jobIds),
            new OperatorService(
                state,
                proposer,
                scheduling,
                new StatusReport(state, log, scheduling, config, answers),
                log,
                answers));
  }

  /**
   * Returns the handler of messages from peers.
   *
   * @return the handler
   */
  public PeerHandler handler() {
    return dispatcher;
  }

  /**
   * Takes note of a command that was applied.
   *
   * @param command the command
   */
  public void applied(Command command) {
    if (command.hasFleetChange()) {
      config.changed();
    }
  }
}
