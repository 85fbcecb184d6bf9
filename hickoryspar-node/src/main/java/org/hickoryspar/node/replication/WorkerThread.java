package org.hickoryspar.node.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A thread that handles queued items in batches. It must not be interrupted, because an interrupt
 * closes the file channel that the thread is writing to.
 */
final class WorkerThread<T> {

  private final LinkedBlockingQueue<T> queue = new LinkedBlockingQueue<>();
  private final Thread thread;
  private final int maxBatch;
  private final long pollTimeoutMillis;
  private final Handler<T> handler;
  private final Consumer<Throwable> onFailure;
  private volatile boolean stopping;

  WorkerThread(
      String name,
      int maxBatch,
      long pollTimeoutMillis,
      Handler<T> handler,
      Consumer<Throwable> onFailure) {
    this.maxBatch = maxBatch;
    this.pollTimeoutMillis = pollTimeoutMillis;
    this.handler = handler;
    this.onFailure = onFailure;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  void put(T item) {
    queue.add(item);
  }

  int size() {
    return queue.size();
  }

  void stop() {
    stopping = true;
  }

  /** Waits until the thread has ended; returns immediately when called on the thread itself. */
  void join() {
    boolean interrupted = false;
    while (thread.isAlive() && thread != Thread.currentThread()) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<T> batch = new ArrayList<>();
    while (!stopping) {
      try {
        T first = poll();
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, maxBatch - 1);
        }
        handler.handle(batch);
        batch.clear();
      } catch (Exception | Error e) {
        stopping = true;
        onFailure.accept(e);
      }
    }
  }

  private @Nullable T poll() {
    try {
      return queue.poll(pollTimeoutMillis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      return null;
    }
  }

  /** Handles a batch of items, which is empty if none arrived within the poll timeout. */
  interface Handler<T> {
    void handle(List<T> items) throws Exception;
  }
}
