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
 * The thread on which the leader decides about workflows. While this replica leads, a session holds
 * the dispatcher; it is built anew from the replicated state in each term, and within a term when
 * the leader lease was lost, a proposal was not recorded or the dispatcher failed.
 */
public final class DispatchLoop implements Executor, AutoCloseable {

  private static final long IDLE_PAUSE_MILLIS = 25;
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
  private @Nullable DispatchSession session;

  /**
   * Creates a loop that does not run yet.
   *
   * @param state the replicated state
   * @param proposer proposes events
   * @param minionClient carries orders to minions
   * @param settings times and limits
   * @param telemetry logs and counts the decisions
   * @param monotonicMillis a clock that never goes back
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
   * Adds a listener that is called on this thread when this replica begins to decide.
   *
   * @param listener the listener
   */
  public void addListener(SessionListener listener) {
    listeners.add(requireNonNull(listener, "listener is null"));
  }

  /** Starts the loop. */
  public void start() {
    thread.start();
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(requireNonNull(task, "task is null"));
  }

  /**
   * Takes note of a command that was applied.
   *
   * @param command the command
   * @param result its result
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
   * Asks the dispatcher something, or gives it something to do.
   *
   * @param task runs on the thread of the loop
   * @param <T> type of the answer
   * @return the answer, or a failure {@code "not-leader"} when this replica does not decide
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
            // A question with which the dispatcher fails is answered too; its caller asks again.
            result.complete(notLeader());
          }
        });
    return result;
  }

  private static <T> Result<T> notLeader() {
    return Result.failure("not-leader", "this replica does not decide");
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

  // A task that fails ends the session; those after it meet the next one.
  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLogger.log(DispatchLogEvent.SESSION_FAILED, e);
      session = null;
    }
  }

  private long pauseMillis() {
    DispatchSession current = session;
    return current == null
        ? IDLE_PAUSE_MILLIS
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
    if (current == null && holdsLease) {
      // Set before the state is copied: no batch may fall between the copy and the first event.
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
    }
    return current;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }

  /** Is told when this replica begins to decide. */
  @FunctionalInterface
  public interface SessionListener {

    /**
     * Takes note of a new dispatcher.
     *
     * @param dispatcher the dispatcher of the new term
     */
    void onSessionStarted(Dispatcher dispatcher);
  }
}
