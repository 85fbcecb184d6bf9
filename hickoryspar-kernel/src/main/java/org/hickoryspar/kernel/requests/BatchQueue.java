package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Collects claims, or outcomes, into batches of which one is in flight at a time.
 *
 * <p>Everything that arrives while a batch is in flight goes into the next one, so the batches grow
 * with the load and an idle entry sends at once. Safe for use by several threads.
 *
 * @param <T> type of the items
 */
public final class BatchQueue<T> {

  private final int maxItems;
  private final long maxBytes;
  private final Deque<SizedItem<T>> pending = new ArrayDeque<>();
  private List<SizedItem<T>> inFlight = List.of();

  /**
   * Creates an empty state.
   *
   * @param maxItems most items of a batch
   * @param maxBytes most bytes of a batch with more than one item
   */
  public BatchQueue(int maxItems, long maxBytes) {
    this.maxItems = maxItems;
    this.maxBytes = maxBytes;
  }

  /**
   * Adds an item.
   *
   * @param item the item
   * @param sizeBytes its size in a message
   */
  public synchronized void add(T item, long sizeBytes) {
    pending.addLast(new SizedItem<>(requireNonNull(item, "item is null"), sizeBytes));
  }

  /**
   * Takes the next batch unless one is in flight.
   *
   * @return the items of the batch, empty when there is nothing to send now
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
   * Notes that the batch in flight has ended.
   *
   * @param retry whether its items go to the front of the next batch
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
   * Returns the number of items that wait or are in flight.
   *
   * @return the number
   */
  public synchronized int size() {
    return pending.size() + inFlight.size();
  }

  private record SizedItem<T>(T item, long sizeBytes) {}
}
