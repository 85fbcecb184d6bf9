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
 * Runs the scheduling decisions of the leader on a thread of its own.
 *
 * <p>While this replica is the leader, a {@link SchedulingSession} holds the scheduler. A new
 * session is built from the replicated state in each term and after a failure. Thread-safe.
 */
public final class SchedulingLoop implements AutoCloseable {

  private static final long TICK_INTERVAL_MILLIS = 250;
  private static final int PLATFORM_THREADS = 16;

  private final ControlState state;
  private final Proposer proposer;
  private final Platform platform;
  private final SchedulerFactory schedulerFactory;
  private final LongSupplier monotonicMillis;
  private final ScheduledExecutorService loop =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "scheduling"));
  private final ExecutorService platformPool =
      Executors.newFixedThreadPool(PLATFORM_THREADS, task -> new Thread(task, "platform-calls"));

  /** Whether there may be a session, which must then receive each command that is applied. */
  private volatile boolean leading;

  private @Nullable SchedulingSession session;

  /**
   * Creates a loop that is not started.
   *
   * @param state the replicated state
   * @param proposer proposes decisions
   * @param platform runs tasks; called on a pool of threads, may block
   * @param schedulerFactory creates the scheduler of each session
   * @param monotonicMillis monotonic clock in milliseconds
   */
  public SchedulingLoop(
      ControlState state,
      Proposer proposer,
      Platform platform,
      SchedulerFactory schedulerFactory,
      LongSupplier monotonicMillis) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.schedulerFactory = requireNonNull(schedulerFactory, "schedulerFactory is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /** Starts the periodic ticks of the loop. */
  public void start() {
    loop.scheduleWithFixedDelay(
        this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Handles a command that the replicated log has applied. Does not block.
   *
   * @param command the command
   */
  public void handleApplied(Command command) {
    requireNonNull(command, "command is null");
    if (!leading) {
      return;
    }
    try {
      loop.execute(() -> runGuarded(() -> withSession(current -> current.handleApplied(command))));
    } catch (RejectedExecutionException e) {
      // The daemon is stopping; the next leader builds its session from the state.
    }
  }

  /**
   * Explains why a job waits.
   *
   * @param jobId the job
   * @return one sentence, or a failure if this replica is not the leader
   */
  public CompletableFuture<Result<String>> explain(String jobId) {
    requireNonNull(jobId, "jobId is null");
    return submit(current -> Result.success(current.explain(jobId)));
  }

  /**
   * Reports the state of all guarantees.
   *
   * @return the reports, or a failure if this replica is not the leader
   */
  public CompletableFuture<Result<List<GuaranteeReport>>> guarantees() {
    return submit(current -> Result.success(current.guarantees()));
  }

  /**
   * Returns the workers that are isolated because tasks failed on them.
   *
   * @return identifiers of the workers, or a failure if this replica is not the leader
   */
  public CompletableFuture<Result<List<String>>> isolatedWorkers() {
    return submit(current -> Result.success(current.isolatedWorkers()));
  }

  /**
   * Checks that all guarantees of a configuration can be formed at the same time.
   *
   * @param config the configuration
   * @return the version of the configuration, or a failure that names the missing capacity
   */
  public CompletableFuture<Result<Long>> check(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    return submit(current -> current.check(config));
  }

  /**
   * Waits until the scheduler has considered a job that was just submitted and, if it rejects the
   * job, until the rejection is recorded.
   *
   * @param jobId the job
   * @return the result of the rejection, {@link CommandResult.Accepted} if the job is not rejected,
   *     or a failure if this replica is not the leader
   */
  public CompletableFuture<Result<CommandResult>> awaitRejection(String jobId) {
    requireNonNull(jobId, "jobId is null");
    CompletableFuture<Result<CompletableFuture<Result<CommandResult>>>> pendingRejection =
        submit(current -> Result.success(current.pendingRejection(jobId)));
    return pendingRejection.thenCompose(
        result ->
            result.fold(
                problem -> CompletableFuture.completedFuture(Result.failure(problem)),
                rejection -> rejection));
  }

  private <T> CompletableFuture<Result<T>> submit(Function<SchedulingSession, Result<T>> task) {
    CompletableFuture<Result<T>> result = new CompletableFuture<>();
    Runnable guardedTask =
        () ->
            result.complete(
                currentSession()
                    .map(task)
                    .orElseGet(
                        () -> Result.failure("not-leader", "this replica is not the leader")));
    try {
      loop.execute(
          () -> {
            runGuarded(guardedTask);
            result.complete(Result.failure("unavailable", "the scheduling loop failed"));
          });
    } catch (RejectedExecutionException e) {
      result.complete(Result.failure("unavailable", "the daemon is stopping"));
    }
    return result;
  }

  private void tick() {
    runGuarded(() -> withSession(SchedulingSession::tick));
  }

  private void withSession(Consumer<SchedulingSession> action) {
    currentSession().ifPresent(action);
  }

  private Optional<SchedulingSession> currentSession() {
    SchedulingSession current = session;
    boolean holdsLease = proposer.holdsLease();
    long term = proposer.term();
    if (current != null && (!holdsLease || current.term() != term)) {
      EventLogger.log(ControlEvent.NOT_LEADING, current.term());
      session = null;
      leading = false;
      current = null;
    }
    if (current == null && holdsLease) {
      // Set before the state is read, so that no command applied after that is missed.
      leading = true;
      current =
          new SchedulingSession(
              state,
              proposer,
              platform,
              schedulerFactory.create(),
              new GangDriver(proposer, platform, platformPool, loop, monotonicMillis, term),
              platformPool,
              loop,
              term);
      session = current;
      current.rebuild();
    }
    return Optional.ofNullable(current);
  }

  private void runGuarded(Runnable action) {
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
