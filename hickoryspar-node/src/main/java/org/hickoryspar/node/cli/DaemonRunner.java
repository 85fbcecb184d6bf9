package org.hickoryspar.node.cli;

import java.io.File;
import java.io.IOException;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.observability.LogSetup;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.settings.SettingsLoader;
import org.jspecify.annotations.Nullable;

/** Starts a daemon and stops it within a timeout when the process receives SIGTERM. */
final class DaemonRunner {

  /**
   * Timeout of a graceful stop: 30 s to finish accepted requests, which is the longest default
   * deadline of a request, and 5 s to transfer leadership.
   */
  static final long STOP_TIMEOUT_MILLIS = 35_000;

  /** Exit code of a process whose daemon did not stop within the timeout. */
  private static final int EXIT_HALTED = 1;

  private final Console console;

  DaemonRunner(Console console) {
    this.console = console;
  }

  ExitCode run(String kind, @Nullable File settingsFile, boolean initialise)
      throws InterruptedException {
    if (settingsFile == null) {
      return console.fail(ExitCode.USAGE, "--settings is missing");
    }
    return new SettingsLoader()
        .load(settingsFile.toPath())
        .fold(
            problem -> console.fail(ExitCode.REFUSED, problem.message()),
            settings -> start(kind, settings, initialise));
  }

  private ExitCode start(String kind, Settings settings, boolean initialise) {
    LogSetup.toStandardError(settings.instanceId());
    if ("entry".equals(kind) ? settings.entry() == null : settings.control() == null) {
      return console.fail(
          ExitCode.REFUSED,
          "the settings of " + settings.instanceId() + " have no \"" + kind + "\"");
    }
    DaemonFactory factory = ServiceLoader.load(DaemonFactory.class).findFirst().orElse(null);
    if (factory == null) {
      return console.fail(ExitCode.ERROR, "no DaemonFactory is registered on the class path");
    }
    long startNanos = System.nanoTime();
    AutoCloseable daemon;
    try {
      daemon = factory.start(kind, settings, initialise);
    } catch (IOException | RuntimeException e) {
      EventLogger.log(CliEvent.DAEMON_START_FAILED, e, kind, settings.instanceId());
      return console.fail(ExitCode.ERROR, kind + " daemon failed to start: " + e.getMessage());
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOrHalt(kind, daemon), "stop"));
    long startMillis = (System.nanoTime() - startNanos) / 1_000_000;
    EventLogger.log(CliEvent.DAEMON_STARTED, kind, settings.instanceId(), startMillis);
    waitForSignal();
    return ExitCode.DONE;
  }

  private static void waitForSignal() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void stopOrHalt(String kind, AutoCloseable daemon) {
    if (!stop(kind, daemon, STOP_TIMEOUT_MILLIS)) {
      Runtime.getRuntime().halt(EXIT_HALTED);
    }
  }

  /**
   * Closes a daemon on a separate thread.
   *
   * @param kind kind of the daemon, for the log
   * @param daemon the daemon
   * @param timeoutMillis time to wait for the daemon to close
   * @return false if the daemon did not close within the timeout
   */
  static boolean stop(String kind, AutoCloseable daemon, long timeoutMillis) {
    EventLogger.log(CliEvent.DAEMON_STOPPING, kind, timeoutMillis);
    Thread closer = new Thread(() -> close(kind, daemon), "close-" + kind);
    closer.setDaemon(true);
    closer.start();
    try {
      closer.join(timeoutMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (closer.isAlive()) {
      EventLogger.log(CliEvent.DAEMON_STOP_TIMED_OUT, kind, timeoutMillis);
      return false;
    }
    return true;
  }

  private static void close(String kind, AutoCloseable daemon) {
    try {
      daemon.close();
      EventLogger.log(CliEvent.DAEMON_STOPPED, kind);
    } catch (Exception e) {
      EventLogger.log(CliEvent.DAEMON_STOP_FAILED, e, kind);
    }
  }
}
