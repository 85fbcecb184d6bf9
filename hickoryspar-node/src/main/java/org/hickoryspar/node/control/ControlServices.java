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

/** Assembles the services that the leader provides to entries. */
public final class ControlServices {

  private final ConfigService configService;
  private final PeerRequestRouter router;

  /**
   * Creates the services of a control daemon.
   *
   * @param settings settings of this instance
   * @param state the replicated state
   * @param log the replica of this instance
   * @param proposer proposes commands
   * @param scheduling the scheduling loop
   * @param mapper reads and writes JSON
   * @param monotonicMillis monotonic clock in milliseconds
   * @param jobIdSupplier supplies unique identifiers of jobs
   */
  public ControlServices(
      Settings settings,
      ControlState state,
      ReplicatedLog<CommandResult> log,
      Proposer proposer,
      SchedulingLoop scheduling,
      ObjectMapper mapper,
      LongSupplier monotonicMillis,
      Supplier<String> jobIdSupplier) {
    requireNonNull(settings, "settings is null");
    JsonResponses responses = new JsonResponses(requireNonNull(mapper, "mapper is null"));
    int entryCount =
        (int) settings.instances().stream().filter(i -> i.entryPeerAddress() != null).count();
    configService = new ConfigService(state, proposer, monotonicMillis);
    router =
        new PeerRequestRouter(
            state,
            log,
            proposer,
            configService,
            new SlotService(Math.max(1, entryCount), monotonicMillis),
            new JobService(state, proposer, scheduling, responses, jobIdSupplier),
            new OperatorService(
                state,
                proposer,
                scheduling,
                new StatusReporter(state, log, scheduling, configService, responses),
                log,
                responses));
  }

  /**
   * Returns the handler of messages from peers.
   *
   * @return the handler, which rejects calls while this replica is not the leader
   */
  public PeerHandler handler() {
    return router;
  }

  /**
   * Handles a command that the replicated log has applied. Does not block.
   *
   * @param command the command
   */
  public void handleApplied(Command command) {
    if (command.hasFleetChange()) {
      configService.handleFleetChange();
    }
  }
}
