package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A queue of claims or outcomes that are sent in batches, with at most one batch in flight.
 *
 * <p>Items that arrive while a batch is in flight are collected for the next one, so batches grow
 * with the load and an idle entry sends immediately. Thread-safe.
 *
 * @param <T> type of the items
 */
public final class BatchQueue<T> {

  private final int maxItems;
  private final long maxBytes;
  private final Deque<SizedItem<T>> pending = new ArrayDeque<>();
  private List<SizedItem<T>> inFlight = List.of();

  /**
   * Creates an empty queue.
   *
   * @param maxItems maximum number of items in a batch
   * @param maxBytes maximum size of a batch in bytes; a single larger item forms its own batch
   */
  public BatchQueue(int maxItems, long maxBytes) {
    this.maxItems = maxItems;
    this.maxBytes = maxBytes;
  }

  /**
   * Appends an item to the queue.
   *
   * @param item the item
   * @param sizeBytes serialized size of the item in bytes
   */
  public synchronized void add(T item, long sizeBytes) {
    pending.addLast(new SizedItem<>(requireNonNull(item, "item is null"), sizeBytes));
  }

  /**
   * Removes the next batch from the queue and marks it as in flight.
   *
   * @return the items of the batch; empty if a batch is already in flight or no item is pending
   */
  public synchronized List<T> nextBatch() {
    if (!inFlight.isEmpty()) {
      return List.of();
    }
    List<SizedItem<T>> batch = new ArrayList<>();
    long bytes = 0;
    while (!pending.isEmpty() && batch.size() < maxItems) {
      bytes += pending.getFirst().sizeBytes;
      if (bytes > maxBytes && !batch.isEmpty()) {
        break;
      }
      batch.add(pending.removeFirst());
    }
    inFlight = List.copyOf(batch);
    return batch.stream().map(SizedItem::item).toList();
  }

  /**
   * Ends the batch in flight.
   *
   * @param retry true to put its items back to the front of the queue, in their order
   */
  public synchronized void endBatch(boolean retry) {
    if (retry) {
      for (int i = inFlight.size() - 1; i >= 0; i--) {
        pending.addFirst(inFlight.get(i));
      }
    }
    inFlight = List.of();
  }

  /**
   * Returns the number of pending items, including those in flight.
   *
   * @return the number of items
   */
  public synchronized int size() {
    return pending.size() + inFlight.size();
  }

  private record SizedItem<T>(T item, long sizeBytes) {}
}
