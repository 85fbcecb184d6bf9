package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Command;
import org.jspecify.annotations.Nullable;

/**
 * Runs the dispatcher of workflows on a thread of its own while this replica is the leader.
 *
 * <p>The dispatcher belongs to a session. A new session is built from the replicated state in each
 * term, and also within a term after the leader lease was lost, a proposal was not recorded or the
 * dispatcher failed. Thread-safe.
 */
public final class DispatchLoop implements Executor, AutoCloseable {

  private static final long IDLE_PAUSE_MILLIS = 25;

  /** Pause before the next session after a second failure within this time. */
  private static final long REPEATED_FAILURE_PAUSE_MILLIS = 250;

  private static final int MAX_TASKS_PER_BATCH = 1_000;

  private final ControlState state;
  private final Proposer proposer;
  private final MinionClient minionClient;
  private final DispatchSettings settings;
  private final DecisionTelemetry telemetry;
  private final LongSupplier monotonicMillis;
  private final FencingTokens fencingTokens = new FencingTokens();
  private final LinkedBlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final List<SessionListener> listeners = new ArrayList<>();
  private final Thread thread = new Thread(this::run, "dispatch");
  private volatile boolean closed;
  private volatile boolean leading;
  private volatile CompletableFuture<Void> nextSession = new CompletableFuture<>();
  private @Nullable DispatchSession session;
  private long lastFailureMillis = Long.MIN_VALUE / 2;
  private long nextSessionMillis;

  /**
   * Creates a loop that is not started.
   *
   * @param state the replicated state
   * @param proposer proposes workflow events
   * @param minionClient sends orders to minions
   * @param settings times and limits
   * @param telemetry logs and counts the events of the dispatcher
   * @param monotonicMillis monotonic clock in milliseconds
   */
  public DispatchLoop(
      ControlState state,
      Proposer proposer,
      MinionClient minionClient,
      DispatchSettings settings,
      DecisionTelemetry telemetry,
      LongSupplier monotonicMillis) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.minionClient = requireNonNull(minionClient, "minionClient is null");
    this.settings = requireNonNull(settings, "settings is null");
    this.telemetry = requireNonNull(telemetry, "telemetry is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    thread.setDaemon(true);
  }

  /**
   * Adds a listener that is called on the thread of the loop when a session starts. Must be called
   * before {@link #start}.
   *
   * @param listener the listener, which must not block
   */
  public void addListener(SessionListener listener) {
    listeners.add(requireNonNull(listener, "listener is null"));
  }

  /** Starts the thread of the loop. */
  public void start() {
    thread.start();
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(requireNonNull(task, "task is null"));
  }

  /**
   * Handles a command that the replicated log has applied. Does not block.
   *
   * @param command the command
   * @param result the result of the command
   */
  public void handleApplied(Command command, CommandResult result) {
    if (leading && result instanceof CommandResult.WorkflowsApplied applied) {
      execute(
          () -> {
            DispatchSession current = session;
            if (current != null) {
              current.handleApplied(command, applied);
            }
          });
    }
  }

  /**
   * Runs a task with the dispatcher on the thread of the loop.
   *
   * @param task the task, which must not block
   * @param <T> type of the result
   * @return the result of the task, or a failure {@code "not-leader"} if this replica is not the
   *     leader or the task throws
   */
  public <T> CompletableFuture<Result<T>> submit(Function<Dispatcher, Result<T>> task) {
    requireNonNull(task, "task is null");
    CompletableFuture<Result<T>> result = new CompletableFuture<>();
    execute(
        () -> {
          try {
            DispatchSession current = currentSession();
            result.complete(current == null ? notLeader() : task.apply(current.dispatcher()));
          } finally {
            // Completes the result if the task throws, so that its caller can retry.
            result.complete(notLeader());
          }
        });
    return result;
  }

  /**
   * Returns the future that completes when the next session starts. It is shared: a caller that
   * waits must use a copy, and must make none unless it waits, since copies are kept until then.
   */
  CompletableFuture<Void> nextSession() {
    return nextSession;
  }

  private void announceSession() {
    CompletableFuture<Void> announced = nextSession;
    nextSession = new CompletableFuture<>();
    announced.complete(null);
  }

  private static <T> Result<T> notLeader() {
    return Result.failure("not-leader", "this replica is not the leader");
  }

  private void run() {
    List<Runnable> batch = new ArrayList<>();
    while (!closed) {
      try {
        Runnable first = tasks.poll(pauseMillis(), TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          tasks.drainTo(batch, MAX_TASKS_PER_BATCH);
        }
        batch.forEach(this::runGuarded);
        runGuarded(this::advance);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } finally {
        batch.clear();
      }
    }
  }

  private void advance() {
    DispatchSession current = currentSession();
    if (current != null) {
      current.advance();
    }
  }

  // A task that throws ends the session; later tasks run in the next one.
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      EventLogger.log(DispatchLogEvent.SESSION_FAILED, e);
      session = null;
      delayNextSessionAfterRepeatedFailure();
    }
  }

  private void delayNextSessionAfterRepeatedFailure() {
    long nowMillis = monotonicMillis.getAsLong();
    if (nowMillis - lastFailureMillis < REPEATED_FAILURE_PAUSE_MILLIS) {
      nextSessionMillis = nowMillis + REPEATED_FAILURE_PAUSE_MILLIS;
    }
    lastFailureMillis = nowMillis;
  }

  private long pauseMillis() {
    DispatchSession current = session;
    if (current == null) {
      return IDLE_PAUSE_MILLIS;
    }
    return current.hasUnsentOrders()
        ? 0
        : current.dispatcher().maxPauseMillis(monotonicMillis.getAsLong());
  }

  private @Nullable DispatchSession currentSession() {
    DispatchSession current = session;
    boolean holdsLease = proposer.holdsLease();
    if (current != null
        && (!holdsLease || current.hasFailed() || current.term() != proposer.term())) {
      EventLogger.log(DispatchLogEvent.SESSION_ENDED, current.term());
      session = null;
      leading = false;
      current = null;
    }
    if (current == null && holdsLease && monotonicMillis.getAsLong() >= nextSessionMillis) {
      // Set before the state is copied, so that no batch applied after the copy is missed.
      leading = true;
      current =
          new DispatchSession(
              state,
              proposer,
              fencingTokens,
              minionClient,
              settings,
              telemetry,
              this,
              monotonicMillis);
      session = current;
      for (SessionListener listener : listeners) {
        listener.onSessionStarted(current.dispatcher());
      }
      announceSession();
    }
    return current;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  /** Receives the dispatcher of each new session. */
  @FunctionalInterface
  public interface SessionListener {

    /**
     * Handles the start of a session.
     *
     * @param dispatcher dispatcher of the session; must be used only on the thread of the loop
     */
    void onSessionStarted(Dispatcher dispatcher);
  }
}
