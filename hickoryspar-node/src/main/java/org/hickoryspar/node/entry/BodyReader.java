package org.hickoryspar.node.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body into memory, up to a limit; the memory is given back with the answer. */
final class BodyReader implements Runnable {

  private final Request request;
  private final Limits limits;
  private final Consumer<byte[]> onBody;
  private final Runnable onTooLarge;
  private final Runnable onNoMemory;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

  /**
   * Limits of a body.
   *
   * @param maxBytes largest body
   * @param budget memory that all bodies share
   */
  record Limits(int maxBytes, ByteBudget budget) {}

  private BodyReader(
      Request request,
      Limits limits,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Runnable onNoMemory,
      Consumer<Throwable> onFailure) {
    this.request = request;
    this.limits = limits;
    this.onBody = onBody;
    this.onTooLarge = onTooLarge;
    this.onNoMemory = onNoMemory;
    this.onFailure = onFailure;
  }

  /** Reads the body and calls exactly one of the four functions. */
  static void read(
      Request request,
      Limits limits,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Runnable onNoMemory,
      Consumer<Throwable> onFailure) {
    if (request.getLength() > limits.maxBytes) {
      onTooLarge.run();
    } else {
      new BodyReader(request, limits, onBody, onTooLarge, onNoMemory, onFailure).run();
    }
  }

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
      boolean tooLarge = collected.size() + size > limits.maxBytes;
      boolean noMemory = !tooLarge && !limits.budget.tryTake(size);
      if (!tooLarge && !noMemory) {
        Request.addCompletionListener(request, ended -> limits.budget.giveBack(size));
        byte[] bytes = new byte[size];
        buffer.get(bytes);
        collected.writeBytes(bytes);
      }
      boolean last = chunk.isLast();
      chunk.release();
      if (tooLarge) {
        onTooLarge.run();
        return;
      }
      if (noMemory) {
        onNoMemory.run();
        return;
      }
      if (last) {
        onBody.accept(collected.toByteArray());
        return;
      }
    }
  }
}
