package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.platform.Platform;
import org.hickoryspar.protocol.Command;
import org.jspecify.annotations.Nullable;

/**
 * The thread on which the leader makes scheduling decisions.
 *
 * <p>While this replica leads, a {@link SchedulingSession} holds the scheduler; it is built anew
 * from the replicated state in each term.
 */
public final class SchedulingLoop implements AutoCloseable {

  private static final long TICK_MILLIS = 250;
  private static final int PLATFORM_THREADS = 16;

  private final ControlState state;
  private final Proposer proposer;
  private final Platform platform;
  private final SchedulerFactory schedulers;
  private final LongSupplier monotonicMillis;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "scheduling"));
  private final ExecutorService platformPool =
      Executors.newFixedThreadPool(PLATFORM_THREADS, task -> new Thread(task, "platform-calls"));
  private @Nullable SchedulingSession session;

  /**
   * Creates a loop that does not run yet.
   *
   * @param state the replicated state
   * @param proposer proposes decisions
   * @param platform runs tasks
   * @param schedulers makes a scheduler for each term
   * @param monotonicMillis a clock that never goes back
   */
  public SchedulingLoop(
      ControlState state,
      Proposer proposer,
      Platform platform,
      SchedulerFactory schedulers,
      LongSupplier monotonicMillis) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.schedulers = requireNonNull(schedulers, "schedulers is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /** Starts the loop. */
  public void start() {
    loop.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Takes note of a command that was applied.
   *
   * @param command the command
   */
  public void applied(Command command) {
    requireNonNull(command, "command is null");
    if (!proposer.mayGrant()) {
      return;
    }
    try {
      loop.execute(() -> guarded(() -> withSession(current -> current.applied(command))));
    } catch (RejectedExecutionException e) {
      // The daemon stops; the next leader reads the state.
    }
  }

  /**
   * Explains why a job waits.
   *
   * @param jobId the job
   * @return one sentence, or a failure when this replica does not decide
   */
  public CompletableFuture<Result<String>> explain(String jobId) {
    requireNonNull(jobId, "jobId is null");
    return ask(current -> Result.success(current.explain(jobId)));
  }

  /**
   * Reports all guarantees.
   *
   * @return the reports, or a failure when this replica does not decide
   */
  public CompletableFuture<Result<List<GuaranteeReport>>> guarantees() {
    return ask(current -> Result.success(current.guarantees()));
  }

  /**
   * Lists the isolated workers.
   *
   * @return the workers, or a failure when this replica does not decide
   */
  public CompletableFuture<Result<List<String>>> isolatedWorkers() {
    return ask(current -> Result.success(current.isolatedWorkers()));
  }

  /**
   * Checks that the guarantees of a configuration can be formed.
   *
   * @param config the configuration
   * @return its version, or what is missing
   */
  public CompletableFuture<Result<Long>> check(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    return ask(current -> current.check(config));
  }

  /**
   * Waits until a decision to reject a job that was just submitted, if there is one, is recorded.
   *
   * @param jobId the job
   * @return completes after a round of decisions that knew the job
   */
  public CompletableFuture<Result<CommandResult>> decided(String jobId) {
    requireNonNull(jobId, "jobId is null");
    CompletableFuture<Result<CompletableFuture<Result<CommandResult>>>> asked =
        ask(current -> Result.success(current.rejectionRecorded(jobId)));
    return asked.thenCompose(
        result ->
            result.fold(
                problem -> CompletableFuture.completedFuture(Result.failure(problem)),
                recorded -> recorded));
  }

  private <T> CompletableFuture<Result<T>> ask(Function<SchedulingSession, Result<T>> question) {
    CompletableFuture<Result<T>> answer = new CompletableFuture<>();
    Runnable task =
        () ->
            answer.complete(
                currentSession()
                    .map(question)
                    .orElseGet(() -> Result.failure("not-leader", "this replica does not decide")));
    try {
      loop.execute(
          () -> {
            guarded(task);
            answer.complete(Result.failure("unavailable", "the scheduling loop failed"));
          });
    } catch (RejectedExecutionException e) {
      answer.complete(Result.failure("unavailable", "the daemon stops"));
    }
    return answer;
  }

  private void tick() {
    guarded(() -> withSession(SchedulingSession::tick));
  }

  private void withSession(Consumer<SchedulingSession> action) {
    currentSession().ifPresent(action);
  }

  private Optional<SchedulingSession> currentSession() {
    SchedulingSession current = session;
    boolean leads = proposer.mayGrant();
    long term = proposer.term();
    if (current != null && (!leads || current.term() != term)) {
      EventLogger.log(ControlEvent.NOT_LEADING, current.term());
      session = null;
      current = null;
    }
    if (current == null && leads) {
      current =
          new SchedulingSession(
              state,
              proposer,
              platform,
              schedulers.create(),
              new GangDriver(proposer, platform, platformPool, loop, monotonicMillis, term),
              platformPool,
              loop,
              term);
      session = current;
      current.rebuild();
    }
    return Optional.ofNullable(current);
  }

  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      EventLogger.log(ControlEvent.LOOP_FAILED, e);
      session = null;
    }
  }

  @Override
  public void close() {
    loop.shutdownNow();
    platformPool.shutdownNow();
  }
}
