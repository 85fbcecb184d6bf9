package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Generates identifiers of calls that no other process generates. Thread-safe. */
public final class CallIds implements Supplier<ByteString> {

  private final long processId;
  private final AtomicLong lastNumber = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param random source of the part that identifies this process, which must not be seeded
   */
  public CallIds(RandomGenerator random) {
    this.processId = requireNonNull(random, "random is null").nextLong();
  }

  /**
   * Generates an identifier.
   *
   * @return 16 bytes, different in each call
   */
  @Override
  public ByteString get() {
    ByteBuffer id = ByteBuffer.allocate(2 * Long.BYTES);
    id.putLong(processId).putLong(lastNumber.incrementAndGet());
    return ByteString.copyFrom(id.flip());
  }
}
