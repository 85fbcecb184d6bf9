package org.hickoryspar.node.daemon;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.transport.PeerIdentity;

/** Event loops and the peer identity of a daemon process. */
final class ProcessResources implements Closeable {

  private static final int EVENT_LOOP_THREADS = 2;
  private static final int RANDOM_BITS = 20;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

  private final EventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final PeerIdentity identity;

  ProcessResources(Settings settings) {
    identity = new PeerIdentity(settings.cluster(), settings.instanceId(), newProcessIncarnation());
  }

  /**
   * Returns an incarnation whose high bits are the time, so that a later process has a larger one.
   */
  static long newProcessIncarnation() {
    return System.currentTimeMillis() << RANDOM_BITS | new SecureRandom().nextInt(1 << RANDOM_BITS);
  }

  EventLoopGroup eventLoops() {
    return eventLoops;
  }

  /** Creates event loops that the closer shuts down. */
  static EventLoopGroup newEventLoops(Closer closer, int threads) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    closer.register(() -> shutDown(group));
    return group;
  }

  PeerIdentity identity() {
    return identity;
  }

  static long monotonicMillis() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void close() {
    shutDown(eventLoops);
  }

  private static void shutDown(EventLoopGroup eventLoops) {
    eventLoops
        .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
  }
}
