package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.hickoryspar.kernel.catalog.CatalogValidator;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogCall;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.CatalogReply;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.DataCentreSwitch;

/** Serves the catalog calls of operators on the leader. */
final class CatalogService {

  private final ControlState state;
  private final Proposer proposer;
  private final ReplicatedLog<CommandResult> log;
  private final BooleanSupplier enoughVoters;

  /**
   * Creates the service.
   *
   * @param enoughVoters returns whether there are enough voters to accept a change: it is then
   *     stored on at least one more disk than may be lost
   */
  CatalogService(
      ControlState state,
      Proposer proposer,
      ReplicatedLog<CommandResult> log,
      BooleanSupplier enoughVoters) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.log = requireNonNull(log, "log is null");
    this.enoughVoters = requireNonNull(enoughVoters, "enoughVoters is null");
  }

  /**
   * Serves a call. A failure {@code "invalid-catalog"} or {@code "conflict"} is final; after any
   * other failure the call may be retried.
   */
  CompletableFuture<Result<CatalogReply>> serve(CatalogCall call) {
    switch (call.getKindCase()) {
      case PUT -> {
        return put(call.getPut());
      }
      case GET -> {
        return log.readBarrier().thenApply(barrier -> barrier.map(index -> currentCatalog()));
      }
      case DATA_CENTRE -> {
        return switchDataCentre(call.getDataCentre());
      }
      case DATA_CENTRE_RECORD -> {
        return log.readBarrier()
            .thenApply(barrier -> barrier.map(index -> dataCentre(call.getDataCentreRecord())));
      }
      default -> {
        return failure(Problem.of("malformed", "unknown kind of call"));
      }
    }
  }

  private CompletableFuture<Result<CatalogReply>> put(CatalogChange change) {
    Catalog catalog = change.getCatalog();
    Optional<Problem> problem = CatalogValidator.validate(catalog);
    if (problem.isPresent()) {
      EventLogger.log(
          DispatchLogEvent.CATALOG_REFUSED, catalog.getVersion(), problem.get().message());
      return failure(problem.get());
    }
    if (!enoughVoters.getAsBoolean()) {
      return failure(Problem.of("unavailable", "the cluster does not have enough voters yet"));
    }
    if (catalog.getVersion() <= state.catalog().view().version()) {
      return CompletableFuture.completedFuture(
          Result.success(
              CatalogReply.newBuilder().setVersion(state.catalog().view().version()).build()));
    }
    return proposer
        .propose(Command.newBuilder().setCatalogChange(change))
        .thenApply(
            result ->
                result.map(
                    applied -> {
                      EventLogger.log(
                          DispatchLogEvent.CATALOG_CHANGED,
                          catalog.getVersion(),
                          catalog.getQueuesCount(),
                          catalog.getTeamsCount());
                      return CatalogReply.newBuilder().setVersion(catalog.getVersion()).build();
                    }));
  }

  private CompletableFuture<Result<CatalogReply>> switchDataCentre(DataCentreSwitch change) {
    return proposer
        .propose(Command.newBuilder().setDataCentreSwitch(change))
        .thenApply(result -> result.flatMap(applied -> replyToSwitch(change, applied)));
  }

  private Result<CatalogReply> replyToSwitch(DataCentreSwitch change, CommandResult applied) {
    if (applied instanceof CommandResult.Refused refused) {
      return Result.failure(refused.problem());
    }
    EventLogger.log(DispatchLogEvent.DATA_CENTRE_SWITCHED, change.getDataCentre(), change.getOut());
    return Result.success(dataCentre(change.getDataCentre()));
  }

  private CatalogReply dataCentre(String name) {
    return CatalogReply.newBuilder().setDataCentre(state.catalog().dataCentre(name)).build();
  }

  private CatalogReply currentCatalog() {
    CatalogChange change = state.catalog().lastChange();
    return CatalogReply.newBuilder()
        .setVersion(change.getCatalog().getVersion())
        .setDocument(change.getDocument())
        .build();
  }

  private static CompletableFuture<Result<CatalogReply>> failure(Problem problem) {
    return CompletableFuture.completedFuture(Result.failure(problem));
  }
}
