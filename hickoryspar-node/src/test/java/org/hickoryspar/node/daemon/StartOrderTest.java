package org.hickoryspar.node.daemon;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.node.cluster.ClusterSettings;
import org.hickoryspar.node.dispatch.SilentMinionClient;
import org.hickoryspar.node.observability.StartSteps;
import org.hickoryspar.node.observability.StartSteps.Step;
import org.testng.annotations.Test;

/** The order of the steps of a start: what others wait for comes before what they do not need. */
public class StartOrderTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private static final DispatchSettings DISPATCH =
      new DispatchSettings(
          4_500,
          6_000,
          1_000,
          300,
          1_500,
          400,
          4_000,
          3,
          2_900,
          120_000,
          100,
          0,
          RunTimeSource.LEARNED);

  private final StartSteps steps = new StartSteps(System::nanoTime);

  private static ClusterSettings settings(String address) {
    return new ClusterSettings("c", "instance", "dc", address, List.of(address), true, 0);
  }

  private static String freeAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  /**
   * Guards against an election that waits until a control daemon has prepared what only a leader
   * needs: connections to minions, decisions and metrics.
   */
  @Test
  public void shouldTakePartInElectionsBeforeMinionsAreCalledWhenAControlDaemonStarts()
      throws Exception {
    Path folder = Files.createTempDirectory("start-order");
    PrometheusRegistry metrics = new PrometheusRegistry();
    CompletableFuture<Set<Step>> stepsBeforeMinions = new CompletableFuture<>();
    CompletableFuture<Integer> metricsBeforeMinions = new CompletableFuture<>();
    try (ClusterControlDaemon daemon =
        new ClusterControlDaemon(
            settings(freeAddress()),
            folder,
            DISPATCH,
            () -> {
              stepsBeforeMinions.complete(Set.copyOf(steps.reachedMillis().keySet()));
              metricsBeforeMinions.complete(metrics.scrape().size());
              return new SilentMinionClient();
            },
            metrics,
            steps)) {
      Set<Step> reached = stepsBeforeMinions.get();
      assertTrue(
          reached.containsAll(Set.of(Step.FOLDER_LOCKED, Step.REPLICA_STARTED, Step.PEERS_BOUND)),
          reached.toString());
      assertEquals(metricsBeforeMinions.get(), 0);
      await().atMost(TIMEOUT).until(() -> steps.reachedMillis().containsKey(Step.SESSION_STARTED));
      assertTrue(daemon.peers().directory().getControlAddressesCount() > 0);
    }
  }

  /** Guards against an entry that prepares its metrics while callers wait for the first answer. */
  @Test
  public void shouldRegisterMetricsLastWhenAnEntryStarts() throws Exception {
    PrometheusRegistry metrics = new PrometheusRegistry();
    try (ClusterEntryDaemon daemon =
        new ClusterEntryDaemon(settings(freeAddress()), metrics, steps)) {
      assertEquals(metrics.scrape().size(), 0);
      daemon.registerMetrics();
      assertTrue(metrics.scrape().size() > 0);
    }
  }
}
