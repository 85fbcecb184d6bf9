package org.hickoryspar.node.entry;

/** Limits the memory of request bodies that wait; safe for use by several threads. */
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
