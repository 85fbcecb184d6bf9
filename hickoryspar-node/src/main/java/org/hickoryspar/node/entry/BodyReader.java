package org.hickoryspar.node.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/** Reads a request body into memory, up to a limit. */
final class BodyReader implements Runnable {

  private final Request request;
  private final int maxBytes;
  private final Consumer<byte[]> onBody;
  private final Runnable onTooLarge;
  private final Consumer<Throwable> onFailure;
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

  private BodyReader(
      Request request,
      int maxBytes,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Consumer<Throwable> onFailure) {
    this.request = request;
    this.maxBytes = maxBytes;
    this.onBody = onBody;
    this.onTooLarge = onTooLarge;
    this.onFailure = onFailure;
  }

  /** Reads the body and calls exactly one of the three functions. */
  static void read(
      Request request,
      int maxBytes,
      Consumer<byte[]> onBody,
      Runnable onTooLarge,
      Consumer<Throwable> onFailure) {
    if (request.getLength() > maxBytes) {
      onTooLarge.run();
    } else {
      new BodyReader(request, maxBytes, onBody, onTooLarge, onFailure).run();
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
      boolean tooLarge = collected.size() + buffer.remaining() > maxBytes;
      if (!tooLarge) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        collected.writeBytes(bytes);
      }
      boolean last = chunk.isLast();
      chunk.release();
      if (tooLarge) {
        onTooLarge.run();
        return;
      }
      if (last) {
        onBody.accept(collected.toByteArray());
        return;
      }
    }
  }
}
