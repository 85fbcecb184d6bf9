package org.hickoryspar.node.http;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

/** Reads a request body into memory, up to a limit; releases its bytes when the request ends. */
public final class BodyReader implements Runnable {

  private final Request request;
  private final Limits limits;
  private final Consumer<byte[]> onBody;
  private final Runnable onTooLarge;
  private final Runnable onBudgetExhausted;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /**
   * Maximum number of bytes of a rejected body that are read and discarded before the response. A
   * connection that is closed with unread bytes is reset, and the caller may lose the response with
   * the reason.
   */
  private static final long MAX_DISCARDED_BYTES = 64L << 20;

  private @Nullable Runnable rejection;
  private long discardedBytes;

  private BodyReader(
      Request request,
      Limits limits,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Runnable onBudgetExhausted,
      Consumer<Throwable> onFailure) {
    this.request = request;
    this.limits = limits;
    this.onBody = onBody;
    this.onTooLarge = onTooLarge;
    this.onBudgetExhausted = onBudgetExhausted;
    this.onFailure = onFailure;
  }

  /**
   * Reads a body without blocking and calls exactly one of the four callbacks.
   *
   * @param request the request
   * @param limits limits of the body
   * @param onBody receives the whole body
   * @param onTooLarge called if the body exceeds its limit
   * @param onBudgetExhausted called if the bodies in memory leave no space for this one
   * @param onFailure receives the cause if the body cannot be read
   */
  public static void read(
      Request request,
      Limits limits,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Runnable onBudgetExhausted,
      Consumer<Throwable> onFailure) {
    requireNonNull(request, "request is null");
    if (request.getLength() > limits.maxBytes + MAX_DISCARDED_BYTES) {
      onTooLarge.run();
      return;
    }
    BodyReader reader =
        new BodyReader(request, limits, onBody, onTooLarge, onBudgetExhausted, onFailure);
    if (request.getLength() > limits.maxBytes) {
      reader.rejection = onTooLarge;
    }
    reader.run();
  }

  /** Reads what has arrived; the server calls it again when there is more. */
  @Override
  public void run() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        onFailure.accept(chunk.getFailure());
        return;
      }
      ByteBuffer buffer = chunk.getByteBuffer();
      int size = buffer.remaining();
      if (rejection == null && body.size() + size > limits.maxBytes) {
        rejection = onTooLarge;
      } else if (rejection == null && !limits.budget.tryAcquire(size)) {
        rejection = onBudgetExhausted;
      }
      if (rejection == null) {
        Request.addCompletionListener(request, failure -> limits.budget.release(size));
        byte[] bytes = new byte[size];
        buffer.get(bytes);
        body.writeBytes(bytes);
      } else {
        discardedBytes += size;
      }
      boolean last = chunk.isLast();
      chunk.release();
      if (rejection != null) {
        if (last || discardedBytes > MAX_DISCARDED_BYTES) {
          rejection.run();
          return;
        }
        continue;
      }
      if (last) {
        onBody.accept(body.toByteArray());
        return;
      }
    }
  }

  /**
   * Limits of a body.
   *
   * @param maxBytes maximum size of the body
   * @param budget memory budget of all bodies together
   */
  public record Limits(int maxBytes, ByteBudget budget) {

    /** Rejects a null budget with a {@link NullPointerException}. */
    public Limits {
      requireNonNull(budget, "budget is null");
    }
  }
}
