package org.hickoryspar.node.entry;

/** Limits the total size of the request bodies in memory. Thread-safe. */
final class ByteBudget {

  private final long maxBytes;
  private long usedBytes;

  ByteBudget(long maxBytes) {
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
