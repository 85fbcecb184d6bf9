package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.EntryLost;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Failure;
import org.hickoryspar.protocol.Hello;
import org.hickoryspar.protocol.OutcomeBatchResult;

/** Routes messages from peers to the replica and to the services of the control daemon. */
final class PeerRequestRouter implements PeerHandler {

  private final ControlState state;
  private final ReplicatedLog<CommandResult> log;
  private final Proposer proposer;
  private final ConfigService configService;
  private final SlotService slotService;
  private final JobService jobService;
  private final OperatorService operatorService;
  private final Map<String, Long> latestIncarnationByEntry = new ConcurrentHashMap<>();

  PeerRequestRouter(
      ControlState state,
      ReplicatedLog<CommandResult> log,
      Proposer proposer,
      ConfigService configService,
      SlotService slotService,
      JobService jobService,
      OperatorService operatorService) {
    this.state = requireNonNull(state, "state is null");
    this.log = requireNonNull(log, "log is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.configService = requireNonNull(configService, "configService is null");
    this.slotService = requireNonNull(slotService, "slotService is null");
    this.jobService = requireNonNull(jobService, "jobService is null");
    this.operatorService = requireNonNull(operatorService, "operatorService is null");
  }

  @Override
  public void handle(Hello from, Envelope message, Consumer<Envelope.Builder> reply) {
    if (message.hasReplication()) {
      log.receive(message.getReplication());
      return;
    }
    if (!proposer.holdsLease()) {
      reply.accept(failure(Problem.of("not-leader", "this replica is not the leader")));
      return;
    }
    recordIncarnation(from);
    switch (message.getPayloadCase()) {
      case CLAIM_BATCH -> propose(Command.newBuilder().setClaims(message.getClaimBatch()), reply);
      case OUTCOME_BATCH ->
          propose(Command.newBuilder().setOutcomes(message.getOutcomeBatch()), reply);
      case CONFIG_WATCH ->
          configService
              .watch(message.getConfigWatch())
              .thenAccept(
                  update ->
                      reply.accept(
                          update
                              .map(u -> Envelope.newBuilder().setConfigUpdate(u))
                              .orElseGet(
                                  () ->
                                      failure(
                                          Problem.of(
                                              "not-leader",
                                              "this replica has lost the leader lease")))));
      case SLOT_LEASE_REQUEST ->
          reply.accept(
              Envelope.newBuilder()
                  .setSlotLeaseGrant(
                      slotService.lease(message.getSlotLeaseRequest(), proposer.term())));
      case JOB_CALL ->
          jobService
              .handle(message.getJobCall())
              .thenAccept(result -> reply.accept(Envelope.newBuilder().setJobResult(result)));
      case OPERATOR_CALL ->
          operatorService
              .handle(message.getOperatorCall())
              .thenAccept(result -> reply.accept(Envelope.newBuilder().setOperatorResult(result)));
      default ->
          reply.accept(
              failure(Problem.of("malformed", "unexpected message " + message.getPayloadCase())));
    }
  }

  private void propose(Command.Builder command, Consumer<Envelope.Builder> reply) {
    proposer.propose(command).thenAccept(result -> reply.accept(toResponse(result)));
  }

  private Envelope.Builder toResponse(Result<CommandResult> result) {
    Function<Problem, Envelope.Builder> toFailure = this::failure;
    return result.fold(
        toFailure,
        applied ->
            applied instanceof CommandResult.Claimed claimed
                ? Envelope.newBuilder().setClaimBatchResult(claimed.result())
                : Envelope.newBuilder()
                    .setOutcomeBatchResult(OutcomeBatchResult.getDefaultInstance()));
  }

  private Envelope.Builder failure(Problem problem) {
    return Envelope.newBuilder()
        .setFailure(
            Failure.newBuilder()
                .setCode(problem.code())
                .setMessage(problem.message())
                .setLeaderHint(leaderInstance()));
  }

  private String leaderInstance() {
    return log.status().leaderId().map(id -> id.substring(0, id.indexOf('/'))).orElse("");
  }

  /**
   * Records the current process of an entry. If it is new, the earlier processes of the entry have
   * ended, and their claims without an outcome are recorded as lost.
   */
  private void recordIncarnation(Hello from) {
    Long previous = latestIncarnationByEntry.get(from.getInstanceId());
    if (previous != null && previous >= from.getProcessIncarnation()) {
      return;
    }
    latestIncarnationByEntry.put(from.getInstanceId(), from.getProcessIncarnation());
    for (EntryLost earlierProcess :
        state.earlierHolders(from.getInstanceId(), from.getProcessIncarnation())) {
      EventLogger.log(ControlEvent.ENTRY_LOST, from.getInstanceId());
      proposer.propose(Command.newBuilder().setEntryLost(earlierProcess));
    }
  }
}
