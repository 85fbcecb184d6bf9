package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Records when a process reaches each step of its start, counted from its first instruction. After
 * a loss of all processes, callers wait for the sum of these steps. Thread-safe.
 */
public final class StartSteps {

  /** A step of the start of a process. A process reaches only those of its role. */
  public enum Step {
    /** The settings are read. */
    SETTINGS_READ,
    /** The sockets for callers are bound, so that connections are not refused any more. */
    CALLERS_BOUND,
    /** The data folder of the replica is locked. */
    FOLDER_LOCKED,
    /** Connections of other processes of the cluster are accepted. */
    PEERS_BOUND,
    /** The log of the replica is read, and the replica takes part in elections. */
    REPLICA_STARTED,
    /** Requests of callers, minions or operators are served. */
    SERVING,
    /** A leader is known. */
    LEADER_KNOWN,
    /** A connection to the leader is ready. */
    LEADER_CONNECTED,
    /** This replica leads and its dispatcher has restored its state. */
    SESSION_STARTED,
    /** A minion has responded to the first renewal of its lease. */
    MINION_CONFIRMED,
    /** The first order to start a task is sent. */
    START_SENT
  }

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final LongSupplier clockNanos;
  private final long startNanos;
  private final Map<Step, Long> reachedNanos = new LinkedHashMap<>();

  /**
   * Creates the record when the process starts.
   *
   * @param clockNanos monotonic clock in nanoseconds
   */
  public StartSteps(LongSupplier clockNanos) {
    this.clockNanos = requireNonNull(clockNanos, "clockNanos is null");
    this.startNanos = clockNanos.getAsLong();
  }

  /**
   * Records that a step is reached. Only the first time counts.
   *
   * @param step the step
   */
  public void reach(Step step) {
    requireNonNull(step, "step is null");
    long nanos = clockNanos.getAsLong() - startNanos;
    synchronized (reachedNanos) {
      reachedNanos.putIfAbsent(step, nanos);
    }
  }

  /**
   * Returns the steps that were reached.
   *
   * @return the time of each step since the start in milliseconds, in the order in which the steps
   *     were reached
   */
  public Map<Step, Long> reachedMillis() {
    Map<Step, Long> millis = new LinkedHashMap<>();
    synchronized (reachedNanos) {
      reachedNanos.forEach((step, nanos) -> millis.put(step, TimeUnit.NANOSECONDS.toMillis(nanos)));
    }
    return millis;
  }

  /** Logs the steps that were reached, as one line. */
  public void log() {
    StringBuilder text = new StringBuilder();
    reachedMillis()
        .forEach(
            (step, millis) ->
                text.append(text.length() == 0 ? "" : ", ")
                    .append(labelOf(step))
                    .append(' ')
                    .append(millis)
                    .append(" ms"));
    EventLogger.log(ObservabilityEvent.PROCESS_SERVES, text);
  }

  /**
   * Registers a gauge of the steps.
   *
   * @param registry registry of the process
   */
  public void register(PrometheusRegistry registry) {
    GaugeWithCallback.builder()
        .name("hickoryspar_start_step_seconds")
        .help("Time from the start of the process to each step of its start")
        .labelNames("step")
        .callback(
            callback -> {
              synchronized (reachedNanos) {
                reachedNanos.forEach(
                    (step, nanos) -> callback.call(nanos / NANOS_PER_SECOND, labelOf(step)));
              }
            })
        .register(requireNonNull(registry, "registry is null"));
  }

  private static String labelOf(Step step) {
    return step.name().toLowerCase(Locale.ROOT);
  }
}
