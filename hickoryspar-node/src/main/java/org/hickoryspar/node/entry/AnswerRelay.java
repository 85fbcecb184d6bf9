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
final class AnswerRelay {

  /** Largest answer that is held back, and the largest body that a claim record keeps. */
  static final int MAX_HELD_BYTES = 65_536;

  private static final Set<String> NOT_PASSED_ON =
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
    void onCallerGone(Throwable cause);

    /** All pieces have been taken from the minion and passed on or held. */
    void onAllTaken();
  }

  private final org.eclipse.jetty.client.Response answer;
  private final Content.Source source;
  private final Response response;
  private final String outcome;
  private final boolean drainWhenGone;
  private final Listener listener;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private volatile boolean streaming;
  private volatile boolean callerGone;
  private volatile boolean waitsForMinion;
  private final AtomicLong pieces = new AtomicLong();

  /**
   * Creates a relay.
   *
   * @param drainWhenGone whether to take the rest of the answer when the caller is gone, to learn
   *     whether it is whole
   */
  AnswerRelay(
      org.eclipse.jetty.client.Response answer,
      Content.Source source,
      Response response,
      String outcome,
      boolean drainWhenGone,
      Listener listener) {
    this.answer = answer;
    this.source = source;
    this.response = response;
    this.outcome = outcome;
    this.drainWhenGone = drainWhenGone;
    this.listener = listener;
  }

  /** Takes pieces until there is none or the caller is not ready for more. */
  void run() {
    while (true) {
      Content.Chunk chunk = source.read();
      if (chunk == null) {
        waitsForMinion = true;
        source.demand(this::run);
        return;
      }
      waitsForMinion = false;
      pieces.incrementAndGet();
      if (Content.Chunk.isFailure(chunk)) {
        if (!chunk.isLast()) {
          source.fail(chunk.getFailure());
        }
        return;
      }
      if (!take(chunk)) {
        return;
      }
    }
  }

  /** Returns whether to read on at once. */
  private boolean take(Content.Chunk chunk) {
    boolean last = chunk.isLast();
    ByteBuffer bytes = chunk.getByteBuffer();
    if (callerGone) {
      chunk.release();
    } else if (!streaming && held.size() + bytes.remaining() <= MAX_HELD_BYTES) {
      byte[] copy = new byte[bytes.remaining()];
      bytes.get(copy);
      held.writeBytes(copy);
      chunk.release();
    } else {
      passOn(chunk, last);
      return false;
    }
    if (last) {
      listener.onAllTaken();
    }
    return !last;
  }

  private void passOn(Content.Chunk chunk, boolean last) {
    if (streaming) {
      response.write(false, chunk.getByteBuffer(), written(chunk, last));
      return;
    }
    streaming = true;
    listener.onStreaming();
    copyHead(response);
    Callback first =
        Callback.from(
            () -> response.write(false, chunk.getByteBuffer(), written(chunk, last)),
            failure -> written(chunk, last).failed(failure));
    response.write(false, ByteBuffer.wrap(held.toByteArray()), first);
  }

  private Callback written(Content.Chunk chunk, boolean last) {
    return Callback.from(
        () -> {
          chunk.release();
          next(last);
        },
        failure -> {
          chunk.release();
          callerGone = true;
          listener.onCallerGone(failure);
          if (drainWhenGone) {
            next(last);
          }
        });
  }

  private void next(boolean last) {
    if (last) {
      listener.onAllTaken();
    } else {
      run();
    }
  }

  /** Writes status and headers of the minion's answer to the caller's response. */
  void copyHead(Response to) {
    to.setStatus(answer.getStatus());
    HttpFields.Mutable headers = to.getHeaders();
    for (HttpField field : answer.getHeaders()) {
      String name = field.getLowerCaseName();
      if (!NOT_PASSED_ON.contains(name) && !name.startsWith("hickoryspar-")) {
        headers.add(field);
      }
    }
    headers.put(Replies.OUTCOME, outcome.toLowerCase(Locale.ROOT));
  }

  org.eclipse.jetty.client.Response answer() {
    return answer;
  }

  /** Returns the outcome of a whole answer. */
  String outcome() {
    return outcome;
  }

  /** Returns the held bytes; the whole body unless the answer is streamed. */
  byte[] held() {
    return held.toByteArray();
  }

  boolean isStreaming() {
    return streaming;
  }

  boolean isCallerGone() {
    return callerGone;
  }

  /** Returns a number that grows with each piece, negative while the caller is waited for. */
  long progress() {
    return waitsForMinion ? pieces.get() : -1;
  }
}
