package org.hickoryspar.node.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Relays the response of a minion to the caller: buffers a small body until it is complete, and
 * streams a larger one chunk by chunk at the rate at which the caller reads.
 */
final class ResponseRelay {

  /** Maximum size of a body that is buffered, and that is stored with the outcome of a claim. */
  static final int MAX_BUFFERED_BYTES = 65_536;

  private static final Set<String> EXCLUDED_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "server",
          "date",
          "traceparent");

  /** Receives the progress of a response. */
  interface Listener {

    /** Called before the first chunk of a large body is sent to the caller. */
    void onStreaming();

    /** Called when a write to the caller has failed. */
    void onCallerDisconnected(Throwable cause);

    /** Called when all chunks have been read and sent to the caller, buffered or discarded. */
    void onBodyConsumed();
  }

  private final org.eclipse.jetty.client.Response minionResponse;
  private final Content.Source source;
  private final Response callerResponse;
  private final String outcome;
  private final boolean drainAfterDisconnect;
  private final Listener listener;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private volatile boolean streaming;
  private volatile boolean callerDisconnected;
  private volatile boolean awaitingMinion;
  private final AtomicLong chunkCount = new AtomicLong();

  /**
   * Creates a relay.
   *
   * @param drainAfterDisconnect whether to read the rest of the response after the caller has
   *     disconnected, to find out whether it is complete
   */
  ResponseRelay(
      org.eclipse.jetty.client.Response minionResponse,
      Content.Source source,
      Response callerResponse,
      String outcome,
      boolean drainAfterDisconnect,
      Listener listener) {
    this.minionResponse = minionResponse;
    this.source = source;
    this.callerResponse = callerResponse;
    this.outcome = outcome;
    this.drainAfterDisconnect = drainAfterDisconnect;
    this.listener = listener;
  }

  /** Relays chunks until none is available or a write to the caller is pending. */
  void relayChunks() {
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        awaitingMinion = true;
        source.demand(this::relayChunks);
        return;
      }
      awaitingMinion = false;
      chunkCount.incrementAndGet();
      if (Content.Chunk.isFailure(chunk)) {
        if (!chunk.isLast()) {
          source.fail(chunk.getFailure());
        }
        return;
      }
      if (!handleChunk(chunk)) {
        return;
      }
    }
  }

  /** Handles a chunk; returns whether the next one may be read without waiting for a write. */
  private boolean handleChunk(Content.Chunk chunk) {
    boolean last = chunk.isLast();
    ByteBuffer bytes = chunk.getByteBuffer();
    if (callerDisconnected) {
      chunk.release();
    } else if (!streaming && buffer.size() + bytes.remaining() <= MAX_BUFFERED_BYTES) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      buffer.writeBytes(copy);
      chunk.release();
    } else {
      forwardChunk(chunk, last);
      return false;
    }
    if (last) {
      listener.onBodyConsumed();
    }
    return !last;
  }

  private void forwardChunk(Content.Chunk chunk, boolean last) {
    if (streaming) {
      callerResponse.write(false, chunk.getByteBuffer(), writeCallback(chunk, last));
      return;
    }
    streaming = true;
    listener.onStreaming();
    copyStatusAndHeaders(callerResponse);
    Callback sendBuffered =
        Callback.from(
            () -> callerResponse.write(false, chunk.getByteBuffer(), writeCallback(chunk, last)),
            failure -> writeCallback(chunk, last).failed(failure));
    callerResponse.write(false, ByteBuffer.wrap(buffer.toByteArray()), sendBuffered);
  }

  private Callback writeCallback(Content.Chunk chunk, boolean last) {
    return Callback.from(
        () -> {
          chunk.release();
          continueAfter(last);
        },
        failure -> {
          chunk.release();
          callerDisconnected = true;
          listener.onCallerDisconnected(failure);
          if (drainAfterDisconnect) {
            continueAfter(last);
          }
        });
  }

  private void continueAfter(boolean last) {
    if (last) {
      listener.onBodyConsumed();
    } else {
      relayChunks();
    }
  }

  /** Copies the status and the headers that are not excluded, and adds the outcome. */
  void copyStatusAndHeaders(Response target) {
    target.setStatus(minionResponse.getStatus());
    HttpFields.Mutable headers = target.getHeaders();
    for (HttpField field : minionResponse.getHeaders()) {
      String name = field.getLowerCaseName();
      if (!EXCLUDED_HEADERS.contains(name) && !name.startsWith("hickoryspar-")) {
        headers.add(field);
      }
    }
    headers.put(Responses.OUTCOME, outcome.toLowerCase(Locale.ROOT));
  }

  org.eclipse.jetty.client.Response minionResponse() {
    return minionResponse;
  }

  /** Returns the outcome of the request if the response is complete. */
  String outcome() {
    return outcome;
  }

  /** Returns the buffered bytes, which are the whole body unless the response is streamed. */
  byte[] bufferedBytes() {
    return buffer.toByteArray();
  }

  boolean isStreaming() {
    return streaming;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Returns the number of chunks read, or -1 unless the relay waits for the minion. */
  long progress() {
    return awaitingMinion ? chunkCount.get() : -1;
  }
}
