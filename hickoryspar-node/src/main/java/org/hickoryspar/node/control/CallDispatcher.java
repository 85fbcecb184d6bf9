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

/** Directs messages from peers to the services of the control daemon. */
final class CallDispatcher implements PeerHandler {

  private final ControlState state;
  private final ReplicatedLog<CommandResult> log;
  private final Proposer proposer;
  private final ConfigService config;
  private final SlotService slots;
  private final JobService jobs;
  private final OperatorService operators;
  private final Map<String, Long> newestProcess = new ConcurrentHashMap<>();

  CallDispatcher(
      ControlState state,
      ReplicatedLog<CommandResult> log,
      Proposer proposer,
      ConfigService config,
      SlotService slots,
      JobService jobs,
      OperatorService operators) {
    this.state = requireNonNull(state, "state is null");
    this.log = requireNonNull(log, "log is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.config = requireNonNull(config, "config is null");
    this.slots = requireNonNull(slots, "slots is null");
    this.jobs = requireNonNull(jobs, "jobs is null");
    this.operators = requireNonNull(operators, "operators is null");
  }

  @Override
  public void handle(Hello from, Envelope message, Consumer<Envelope.Builder> reply) {
    if (message.hasReplication()) {
      log.receive(message.getReplication());
      return;
    }
    if (!proposer.mayGrant()) {
      reply.accept(failure(Problem.of("not-leader", "this replica does not lead")));
      return;
    }
    noteProcess(from);
    switch (message.getPayloadCase()) {
      case CLAIM_BATCH -> propose(Command.newBuilder().setClaims(message.getClaimBatch()), reply);
      case OUTCOME_BATCH ->
          propose(Command.newBuilder().setOutcomes(message.getOutcomeBatch()), reply);
      case CONFIG_WATCH ->
          config
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
                                              "not-leader", "this replica lost its lease")))));
      case SLOT_LEASE_REQUEST ->
          reply.accept(
              Envelope.newBuilder()
                  .setSlotLeaseGrant(slots.lease(message.getSlotLeaseRequest(), proposer.term())));
      case JOB_CALL ->
          jobs.handle(message.getJobCall())
              .thenAccept(result -> reply.accept(Envelope.newBuilder().setJobResult(result)));
      case OPERATOR_CALL ->
          operators
              .handle(message.getOperatorCall())
              .thenAccept(result -> reply.accept(Envelope.newBuilder().setOperatorResult(result)));
      default ->
          reply.accept(failure(Problem.of("malformed", "unexpected " + message.getPayloadCase())));
    }
  }

  private void propose(Command.Builder command, Consumer<Envelope.Builder> reply) {
    proposer.propose(command).thenAccept(result -> reply.accept(answer(result)));
  }

  private Envelope.Builder answer(Result<CommandResult> result) {
    Function<Problem, Envelope.Builder> failed = this::failure;
    return result.fold(
        failed,
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

  /** A new process of an entry means that the earlier one is dead with what it had claimed. */
  private void noteProcess(Hello from) {
    Long before = newestProcess.get(from.getInstanceId());
    if (before != null && before >= from.getProcessIncarnation()) {
      return;
    }
    newestProcess.put(from.getInstanceId(), from.getProcessIncarnation());
    for (EntryLost lost :
        state.earlierHolders(from.getInstanceId(), from.getProcessIncarnation())) {
      EventLogger.log(ControlEvent.ENTRY_LOST, from.getInstanceId());
      proposer.propose(Command.newBuilder().setEntryLost(lost));
    }
  }
}
