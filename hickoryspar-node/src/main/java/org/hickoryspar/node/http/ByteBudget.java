package org.hickoryspar.node.http;

/** Limits the total size of the request bodies in memory. Thread-safe. */
public final class ByteBudget {

  private final long maxBytes;
  private long usedBytes;

  /**
   * Creates a budget of which nothing is in use.
   *
   * @param maxBytes maximum total size in bytes
   */
  public ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  synchronized boolean tryAcquire(long bytes) {
    if (usedBytes + bytes > maxBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  synchronized void release(long bytes) {
    usedBytes -= bytes;
  }
}
