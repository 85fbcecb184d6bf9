package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;

import com.google.common.hash.Hashing;
import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.trace.Tracer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.hickoryspar.kernel.requests.IdempotencyKeys;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.standins.minion.Faults;
import org.hickoryspar.standins.minion.MinionOptions;
import org.hickoryspar.standins.minion.MinionServer;

/** A test harness that runs entries, minions and callers on free loopback ports. */
final class EntryHarness implements AutoCloseable {

  static final Duration TIMEOUT = Duration.ofSeconds(30);

  final FakeControl control = new FakeControl();
  final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  Tracer tracer = OpenTelemetry.noop().getTracer("test");
  private final int entryCount;
  private final int queueLength;
  private final List<EntryDaemon> entries = new ArrayList<>();
  private final Map<EntryDaemon, Integer> portsByEntry = new IdentityHashMap<>();
  private final List<MinionServer> minions = new ArrayList<>();

  EntryHarness() {
    this(1, 1_000);
  }

  EntryHarness(int entryCount, int queueLength) {
    this.entryCount = entryCount;
    this.queueLength = queueLength;
  }

  EntryDaemon startEntry() throws IOException {
    int index = entries.size();
    EntryDaemon entry =
        new EntryDaemon(
            settings("e" + index),
            1_000 + index,
            control,
            new InProcessPeers("e" + index),
            new PrometheusRegistry(),
            tracer,
            Clock.systemUTC(),
            () -> System.nanoTime() / 1_000_000);
    entries.add(entry);
    entry.start();
    portsByEntry.put(entry, entry.port());
    return entry;
  }

  private Settings settings(String id) {
    List<Settings.InstanceSettings> instances = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      instances.add(
          new Settings.InstanceSettings("e" + i, "brest-a", "finistere", "127.0.0.1:1", null));
    }
    return new Settings(
        "test",
        id,
        "brest-a",
        "finistere",
        new Settings.EntrySettings("127.0.0.1:0", "127.0.0.1:1", queueLength, 1_000_000),
        null,
        instances,
        List.of(
            token("team", "north"),
            token("team", "south"),
            token("team", "nobody"),
            token("operator", "olive"),
            token("minion", "catalogue")),
        null,
        null);
  }

  private static Settings.TokenSettings token(String kind, String name) {
    String hash = Hashing.sha256().hashString(kind + "-" + name, StandardCharsets.UTF_8).toString();
    return new Settings.TokenSettings(kind, name, hash);
  }

  /** Starts a minion with faults, which announces itself to all running entries. */
  MinionServer startMinion(String id, String dataCentre, Faults faults) throws IOException {
    List<String> addresses = entries.stream().map(entry -> "127.0.0.1:" + entry.port()).toList();
    MinionServer minion =
        new MinionServer(
            new MinionOptions(
                id,
                "catalogue",
                dataCentre,
                "127.0.0.1",
                0,
                addresses,
                "minion-catalogue",
                1,
                20_000),
            () -> {});
    minions.add(minion);
    minion.setFaults(faults);
    minion.start();
    return minion;
  }

  MinionServer startMinion(Faults faults) throws IOException {
    MinionServer minion = startMinion("m" + minions.size(), "brest-a", faults);
    awaitServing(entries.get(0));
    return minion;
  }

  /** Waits until an entry has a configuration and the endpoints of all minions. */
  void awaitServing(EntryDaemon entry) {
    await().atMost(TIMEOUT).until(() -> entry.isServing("catalogue", minions.size()));
  }

  Call call(EntryDaemon entry, String team, boolean idempotent) {
    return new Call(portsByEntry.get(entry), team, idempotent);
  }

  static String newKey() {
    return newKey(System.currentTimeMillis());
  }

  static String newKey(long creationMillis) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return IdempotencyKeys.of(creationMillis, random.nextLong(), random.nextLong()).toString();
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue("Hickoryspar-Outcome").orElse("none");
  }

  @Override
  public void close() {
    entries.forEach(EntryDaemon::close);
    minions.forEach(MinionServer::close);
  }

  /** A call to a service. */
  final class Call {
    private final int port;
    private final String team;
    private final boolean idempotent;
    private String key = newKey();
    private String service = "catalogue";
    private byte[] body = "wear".getBytes(StandardCharsets.UTF_8);
    private long deadlineMillis = 20_000;

    private Call(int port, String team, boolean idempotent) {
      this.port = port;
      this.team = team;
      this.idempotent = idempotent;
    }

    Call key(String newKey) {
      key = newKey;
      return this;
    }

    Call service(String newService) {
      service = newService;
      return this;
    }

    Call body(byte[] newBody) {
      body = newBody;
      return this;
    }

    Call deadline(long millis) {
      deadlineMillis = millis;
      return this;
    }

    HttpRequest.Builder request() {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
                  URI.create("http://127.0.0.1:" + port + "/v1/services/" + service + "/requests"))
              .header("Authorization", "Bearer team-" + team)
              .header("Hickoryspar-Idempotent", String.valueOf(idempotent))
              .header("Hickoryspar-Deadline-Millis", String.valueOf(deadlineMillis))
              .timeout(Duration.ofSeconds(60))
              .POST(HttpRequest.BodyPublishers.ofByteArray(body));
      return key == null ? request : request.header("Idempotency-Key", key);
    }

    CompletableFuture<HttpResponse<byte[]>> send() {
      return http.sendAsync(request().build(), HttpResponse.BodyHandlers.ofByteArray());
    }
  }

  private final class InProcessPeers implements PeerLink {
    private final String ownId;

    private InProcessPeers(String ownId) {
      this.ownId = ownId;
    }

    @Override
    public void broadcast(Envelope message) {
      for (int i = 0; i < entries.size(); i++) {
        send("e" + i, message);
      }
    }

    @Override
    public void send(String instanceId, Envelope message) {
      int index = Integer.parseInt(instanceId.substring(1));
      if (!instanceId.equals(ownId) && index < entries.size()) {
        entries.get(index).receive(ownId, message);
      }
    }
  }
}
