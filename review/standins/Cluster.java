import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment of the project, with one loopback address for each process. */
final class Cluster implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();
  static final List<String> ZONES = List.of("port-spain", "arima", "san-fernando");
  static final int PEER_PORT = 7_000;
  static final int FRONT_PORT = 7_100;
  static final int READY_PORT = 7_101;
  static final int CONTROL_PORT = 7_102;
  private static final int RESERVATION_PORT = 7_999;

  final Record record;
  final List<Daemon> controls = new ArrayList<>();
  final List<Daemon> entries = new ArrayList<>();
  private final ServerSocket reservation;
  private final String prefix;
  private final Path folder;

  Cluster(Record record, int controlCount, int entryCount) throws IOException {
    this.record = record;
    Random random = new Random();
    ServerSocket reserved = null;
    String network = "";
    for (int attempt = 0; reserved == null && attempt < 100; attempt++) {
      network = "127." + (10 + random.nextInt(200)) + '.' + random.nextInt(250) + '.';
      try {
        reserved = new ServerSocket(RESERVATION_PORT, 1, InetAddress.getByName(network + 1));
      } catch (IOException e) {
        // Another case uses this block of addresses.
      }
    }
    if (reserved == null) {
      throw new IOException("no free block of loopback addresses");
    }
    reservation = reserved;
    prefix = network;
    folder = Files.createTempDirectory("review-case");
    String deploy = Files.readString(Path.of("deploy", "system.toml"));
    for (int i = 0; i < controlCount; i++) {
      controls.add(newDaemon("control-" + i, "control", prefix + (10 + i), deploy));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(newDaemon("entry-" + i, "entry", prefix + (100 + i), deploy));
    }
    for (Daemon daemon : all()) {
      writeSettings(daemon, daemon.settingsFile(), all().indexOf(daemon));
    }
  }

  private Daemon newDaemon(String name, String role, String ip, String deploy) throws IOException {
    Matcher matcher =
        Pattern.compile("\\[roles\\." + role + "]\\s*run = \"([^\"]*)\"").matcher(deploy);
    if (!matcher.find()) {
      throw new IOException("the deploy file has no role " + role);
    }
    Path own = Files.createDirectories(folder.resolve(name));
    Files.createDirectories(own.resolve("data"));
    return new Daemon(name, role, ip, List.of(matcher.group(1).split(" ")), own, record);
  }

  // The values are those of the sheet of the deployment Caroni.
  private void writeSettings(Daemon daemon, Path file, int index) throws IOException {
    boolean isControl = daemon.role.equals("control");
    ObjectNode node = MAPPER.createObjectNode();
    node.put("NodeName", daemon.name).put("Role", daemon.role);
    node.put("MachineClass", isControl ? "core" : "edge");
    node.putArray("Serves").add(isControl ? "control_plane" : "edge");
    node.put("Ip", daemon.ip).put("Zone", ZONES.get(index % ZONES.size())).put("Region", "north-tt");
    ObjectNode zones = node.putObject("Zones");
    zones.put("port-spain", "north-tt").put("arima", "north-tt").put("san-fernando", "south-tt");
    ObjectNode addresses = node.putObject("ListenAddrs");
    if (isControl) {
      addresses.put("Control", daemon.ip + ':' + CONTROL_PORT);
      node.put("DataDir", daemon.dataFolder().toString());
    } else {
      addresses.put("Front", daemon.ip + ':' + FRONT_PORT);
      addresses.put("Ready", daemon.ip + ':' + READY_PORT);
      node.putNull("DataDir");
    }
    node.putArray("InternalPortRange").add(PEER_PORT).add(PEER_PORT + 15);
    for (int i = 0; i < Math.min(3, controls.size()); i++) {
      node.withArray("Seeds").add(controls.get(i).ip + ':' + CONTROL_PORT);
    }
    node.put("Bootstrap", true).put("FaultCounted", isControl);
    node.put("Discovery", "registry").put("Entry", "vip").put("HeartbeatMs", 1500);
    node.putObject("FaultTolerance")
        .put("Machines", (controls.size() - 1) / 2)
        .put("Zones", 1)
        .put("Regions", 0);
    node.putObject("Bounds")
        .put("SeedLagS", 3).put("AddrReuseS", 2).put("ContactMs", 3000).put("AckMs", 4000)
        .put("CatchUpS", 4).put("DrainMs", 2500).put("GraceS", 6).put("LossSlackMs", 200)
        .put("ConfigApplyMs", 2500).put("RollbackSlackMs", 250).put("MaxStretchMs", 5000)
        .put("EvacuationMs", 5000).put("RecoveryS", 12).put("MaxHoldMs", 10000)
        .put("StopTimeoutMs", 400).put("GangTimeoutMs", 3000).put("cancel_ms", 3000)
        .put("visible_ms", 3000).put("early_ms", 250).put("finish_s", 14).put("status_s", 120)
        .put("CrossRackFactor", 3).put("CheckpointIntervalS", 1).put("RestoreMs", 100)
        .put("NoticeMs", 4500).put("LeaseMs", 3000).put("ReclaimMs", 2900);
    node.put("config_mode", "highest").put("Orders", "call");
    Files.writeString(file, node.toString());
  }

  List<Daemon> all() {
    List<Daemon> all = new ArrayList<>(controls);
    all.addAll(entries);
    return all;
  }

  void startAll() throws IOException {
    for (Daemon daemon : all()) {
      daemon.start();
    }
  }

  /** Returns the zone of a control process. */
  String zoneOf(Daemon control) {
    return ZONES.get(all().indexOf(control) % ZONES.size());
  }

  /** Returns a loopback address of this case that no process of the project uses. */
  String standInIp() {
    return prefix + 200;
  }

  InetSocketAddress controlAddress(Daemon control) {
    return new InetSocketAddress(control.ip, CONTROL_PORT);
  }

  InetSocketAddress frontAddress(Daemon entry) {
    return new InetSocketAddress(entry.ip, FRONT_PORT);
  }

  /** Waits until every entry says that it is ready; returns whether they did in time. */
  boolean awaitReady(long timeoutMillis) throws InterruptedException {
    long end = record.nowMillis() + timeoutMillis;
    while (record.nowMillis() < end) {
      boolean ready = true;
      for (Daemon entry : entries) {
        InetSocketAddress address = new InetSocketAddress(entry.ip, READY_PORT);
        ready &= Http.send(address, "GET", "/ready", entry.ip, "", "", 1_000).status() == 200;
      }
      if (ready) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Returns the control process that began to lead last, by the logs. */
  Daemon leader() throws IOException {
    Daemon leader = controls.get(0);
    long latestTerm = -1;
    for (Daemon control : controls) {
      for (String line : Files.readAllLines(control.logFile())) {
        if (line.contains("\"event\":5001")) {
          JsonNode node = MAPPER.readTree(line);
          Matcher matcher =
              Pattern.compile("leading in term (\\d+)").matcher(node.path("message").asText());
          if (matcher.find() && Long.parseLong(matcher.group(1)) > latestTerm) {
            latestTerm = Long.parseLong(matcher.group(1));
            leader = control;
          }
        }
      }
    }
    return leader;
  }

  @Override
  public void close() throws IOException {
    all().forEach(Daemon::end);
    reservation.close();
    if (System.getenv("KEEP") != null) {
      System.out.println("kept " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
