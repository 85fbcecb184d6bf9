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
public final class BatchState<T> {

  private final int maxItems;
  private final long maxBytes;
  private final Deque<Entry<T>> waiting = new ArrayDeque<>();
  private List<Entry<T>> inFlight = List.of();

  /**
   * Creates an empty state.
   *
   * @param maxItems most items of a batch
   * @param maxBytes most bytes of a batch with more than one item
   */
  public BatchState(int maxItems, long maxBytes) {
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
    waiting.addLast(new Entry<>(requireNonNull(item, "item is null"), sizeBytes));
  }

  /**
   * Takes the next batch unless one is in flight.
   *
   * @return the items of the batch, empty when there is nothing to send now
   */
  public synchronized List<T> next() {
    if (!inFlight.isEmpty()) {
      return List.of();
    }
    List<Entry<T>> batch = new ArrayList<>();
    long bytes = 0;
    while (!waiting.isEmpty() && batch.size() < maxItems) {
      bytes += waiting.getFirst().sizeBytes;
      if (bytes > maxBytes && !batch.isEmpty()) {
        break;
      }
      batch.add(waiting.removeFirst());
    }
    inFlight = List.copyOf(batch);
    return batch.stream().map(Entry::item).toList();
  }

  /**
   * Notes that the batch in flight has ended.
   *
   * @param again whether its items go to the front of the next batch
   */
  public synchronized void ended(boolean again) {
    if (again) {
      for (int i = inFlight.size() - 1; i >= 0; i--) {
        waiting.addFirst(inFlight.get(i));
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
    return waiting.size() + inFlight.size();
  }

  private record Entry<T>(T item, long sizeBytes) {}
}
