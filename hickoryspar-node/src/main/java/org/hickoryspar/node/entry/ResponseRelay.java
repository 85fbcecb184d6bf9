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
 * Takes the answer of a minion: a small one is held until it is whole, a larger one is passed on
 * piece by piece as fast as the caller reads.
 */
final class ResponseRelay {

  /** Largest answer that is held back, and the largest body that a claim record keeps. */
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

  /** Receives what happens to the answer. */
  interface Listener {

    /** The first piece of a large answer is about to be passed on. */
    void onStreaming();

    /** The caller no longer takes the answer. */
    void onCallerDisconnected(Throwable cause);

    /** All pieces have been taken from the minion and passed on or held. */
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
   * @param drainAfterDisconnect whether to take the rest of the answer when the caller is gone, to
   *     learn whether it is whole
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

  /** Takes pieces until there is none or the caller is not ready for more. */
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

  /** Returns whether to read on at once. */
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

  /** Writes status and headers of the minion's answer to the caller's response. */
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

  /** Returns the outcome of a whole answer. */
  String outcome() {
    return outcome;
  }

  /** Returns the held bytes; the whole body unless the answer is streamed. */
  byte[] bufferedBytes() {
    return buffer.toByteArray();
  }

  boolean isStreaming() {
    return streaming;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Returns a number that grows with each piece, negative while the caller is waited for. */
  long progress() {
    return awaitingMinion ? chunkCount.get() : -1;
  }
}
