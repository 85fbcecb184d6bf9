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

  private final ConfigService configService;
  private final PeerRequestRouter router;

  /**
   * Creates the services.
   *
   * @param settings settings of this instance
   * @param state the replicated state
   * @param log the replica of this instance
   * @param proposer proposes commands
   * @param scheduling the scheduling loop
   * @param mapper reads and writes JSON
   * @param monotonicMillis a clock that never goes back
   * @param jobIdSupplier makes unique identifiers of jobs
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
   * @return the handler
   */
  public PeerHandler handler() {
    return router;
  }

  /**
   * Takes note of a command that was applied.
   *
   * @param command the command
   */
  public void handleApplied(Command command) {
    if (command.hasFleetChange()) {
      configService.handleFleetChange();
    }
  }
}
