package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.CatalogCall;
import org.hickoryspar.protocol.CatalogReply;
import org.hickoryspar.protocol.DataCentreRecord;
import org.hickoryspar.protocol.DataCentreSwitch;
import org.hickoryspar.protocol.Envelope;

/**
 * Carries out orders to take data centres out of service and to return them. Thread-safe.
 *
 * <p>An order has no identity and no version. If this process was paused, or the network held the
 * order back, its caller may have left, sent it to another instance and replaced it by the opposite
 * order since. Therefore an order is carried out only if its caller still waits after the revision
 * of the data centre was read, and only from that revision: a later pause or a retry cannot undo an
 * order that was acknowledged meanwhile.
 */
public final class DataCentreSwitcher {

  /**
   * Time from reading the revision to the check whether the caller still waits. Longer than a
   * network takes to deliver the end of a connection after the last bytes that were sent on it.
   */
  static final long CONFIRMATION_MILLIS = 100;

  private final LeaderClient leaderClient;
  private final ScheduledExecutorService timer;
  private final LongSupplier monotonicMillis;

  /**
   * Creates a switcher.
   *
   * @param leaderClient sends calls to the leader
   * @param timer runs delayed checks; owned by the caller
   * @param monotonicMillis monotonic clock in milliseconds
   */
  public DataCentreSwitcher(
      LeaderClient leaderClient, ScheduledExecutorService timer, LongSupplier monotonicMillis) {
    this.leaderClient = requireNonNull(leaderClient, "leaderClient is null");
    this.timer = requireNonNull(timer, "timer is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Carries out an order.
   *
   * @param dataCentre name of the data centre
   * @param out true to take it out of service, false to return it
   * @param callerWaits returns whether the sender of the order still waits for the response; must
   *     not block
   * @param timeoutMillis time after which the order is not retried any more
   * @return the state of the data centre; or a failure {@code "abandoned"} if the sender has left,
   *     in which case the order has no effect; or {@code "unknown"} if it may have taken effect
   */
  public CompletableFuture<Result<DataCentreRecord>> switchDataCentre(
      String dataCentre, boolean out, BooleanSupplier callerWaits, long timeoutMillis) {
    requireNonNull(dataCentre, "dataCentre is null");
    requireNonNull(callerWaits, "callerWaits is null");
    long deadlineMillis = monotonicMillis.getAsLong() + timeoutMillis;
    return new PendingOrder(dataCentre, out, callerWaits, deadlineMillis).start();
  }

  private final class PendingOrder {

    private final String dataCentre;
    private final boolean out;
    private final BooleanSupplier callerWaits;
    private final long deadlineMillis;

    PendingOrder(String dataCentre, boolean out, BooleanSupplier callerWaits, long deadlineMillis) {
      this.dataCentre = dataCentre;
      this.out = out;
      this.callerWaits = callerWaits;
      this.deadlineMillis = deadlineMillis;
    }

    CompletableFuture<Result<DataCentreRecord>> start() {
      if (!callerWaits.getAsBoolean()) {
        return CompletableFuture.completedFuture(abandoned());
      }
      return call(CatalogCall.newBuilder().setDataCentreRecord(dataCentre))
          .thenCompose(result -> thenIfSuccess(result, this::confirmThenSwitch));
    }

    private CompletableFuture<Result<DataCentreRecord>> confirmThenSwitch(
        DataCentreRecord current) {
      if (current.getOut() == out) {
        return CompletableFuture.completedFuture(Result.success(current));
      }
      CompletableFuture<Result<DataCentreRecord>> result = new CompletableFuture<>();
      timer.schedule(
          () -> switchFrom(current).thenAccept(result::complete),
          CONFIRMATION_MILLIS,
          TimeUnit.MILLISECONDS);
      return result;
    }

    private CompletableFuture<Result<DataCentreRecord>> switchFrom(DataCentreRecord current) {
      if (!callerWaits.getAsBoolean()) {
        return CompletableFuture.completedFuture(abandoned());
      }
      DataCentreSwitch change =
          DataCentreSwitch.newBuilder()
              .setDataCentre(dataCentre)
              .setOut(out)
              .setExpectedRevision(current.getRevision())
              .build();
      return call(CatalogCall.newBuilder().setDataCentre(change))
          .thenCompose(
              result ->
                  result.problem().filter(problem -> problem.code().equals("conflict")).isPresent()
                      ? start()
                      : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<Result<DataCentreRecord>> call(CatalogCall.Builder call) {
      return leaderClient
          .call(
              Envelope.newBuilder().setCatalogCall(call),
              deadlineMillis - monotonicMillis.getAsLong())
          .thenApply(
              result -> result.map(Envelope::getCatalogReply).map(CatalogReply::getDataCentre));
    }

    private Result<DataCentreRecord> abandoned() {
      EventLogger.log(DispatchLogEvent.ORDER_ABANDONED, dataCentre, out);
      return Result.failure("abandoned", "the sender of the order no longer waits for the answer");
    }
  }

  private static CompletableFuture<Result<DataCentreRecord>> thenIfSuccess(
      Result<DataCentreRecord> result,
      java.util.function.Function<DataCentreRecord, CompletableFuture<Result<DataCentreRecord>>>
          next) {
    return result.fold(problem -> CompletableFuture.completedFuture(Result.failure(problem)), next);
  }
}
