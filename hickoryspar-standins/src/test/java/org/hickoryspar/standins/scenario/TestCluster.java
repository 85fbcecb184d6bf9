package org.hickoryspar.standins.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickoryspar.standins.net.LinkProxy;

/**
 * Cluster of real processes on loopback, whose daemons connect through proxies that can cut links.
 */
final class TestCluster implements AutoCloseable {

  static final String TEAM_TOKEN = "team-token";
  static final ObjectMapper JSON = new ObjectMapper();

  private static final List<String> DATA_CENTRES = List.of("brest-a", "quimper-a", "rennes-a");
  private static final long STOP_TIMEOUT_SECONDS = 40;

  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(20_000 + (int) (ProcessHandle.current().pid() % 100) * 100);

  private final Path folder;
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, List<String>> commands = new LinkedHashMap<>();
  private final Map<String, Integer> httpPorts = new LinkedHashMap<>();
  private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
  private final Map<String, LinkProxy> links = new LinkedHashMap<>();
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  TestCluster(int controlCount, int entryCount, int workerCount) throws IOException {
    folder = Files.createTempDirectory("hickoryspar-scenario");
    httpPorts.put("platform", freePort());
    List<String> names = new ArrayList<>();
    for (int i = 1; i <= controlCount; i++) {
      names.add("c" + i);
    }
    for (int i = 1; i <= entryCount; i++) {
      names.add("e" + i);
    }
    for (String name : names) {
      httpPorts.put(name, freePort());
      peerPorts.put(name, freePort());
    }
    for (String from : names) {
      for (String to : names) {
        boolean needed = !from.equals(to) && !(from.startsWith("c") && to.startsWith("e"));
        if (needed) {
          links.put(from + to, new LinkProxy(loopback(peerPorts.get(to))));
        }
      }
    }
    commands.put(
        "platform",
        javaCommand(
            "org.hickoryspar.standins.platform.PlatformMain",
            List.of("--http", address("platform"), "--workers", "" + workerCount)));
    start("platform");
    for (String name : names) {
      Path settings = folder.resolve(name + ".json");
      JSON.writeValue(settings.toFile(), settings(name, names));
      String kind = name.startsWith("c") ? "control" : "entry";
      List<String> arguments = List.of(kind, "--settings", settings.toString());
      commands.put(name, javaCommand("org.hickoryspar.node.cli.Main", arguments));
      List<String> firstCommand = new ArrayList<>(commands.get(name));
      if (kind.equals("control")) {
        firstCommand.add("--initialise");
      }
      start(name, firstCommand);
    }
  }

  List<String> controls() {
    return peerPorts.keySet().stream().filter(name -> name.startsWith("c")).toList();
  }

  List<String> entries() {
    return peerPorts.keySet().stream().filter(name -> name.startsWith("e")).toList();
  }

  void addMinion(String id, String service, String dataCentre) throws IOException {
    httpPorts.put(id, freePort());
    List<String> arguments = new ArrayList<>(List.of("--id", id, "--service", service));
    arguments.addAll(List.of("--data-centre", dataCentre, "--port", "" + httpPorts.get(id)));
    arguments.addAll(List.of("--token", "minion-token"));
    for (String entry : entries()) {
      arguments.addAll(List.of("--entry", address(entry)));
    }
    commands.put(id, javaCommand("org.hickoryspar.standins.minion.MinionMain", arguments));
    start(id);
  }

  void start(String name) throws IOException {
    start(name, commands.get(name));
  }

  private void start(String name, List<String> command) throws IOException {
    File log = folder.resolve(name + ".log").toFile();
    processes.put(
        name,
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start());
  }

  void kill(String name) throws InterruptedException {
    processes.get(name).destroyForcibly().waitFor();
  }

  void stop(String name) throws InterruptedException {
    Process process = processes.get(name);
    process.destroy();
    if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " did not stop in " + STOP_TIMEOUT_SECONDS + " s");
    }
  }

  void signal(String name, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, "" + processes.get(name).pid()).start().waitFor();
  }

  void deleteDataFolder(String name) throws IOException {
    try (var files = Files.walk(folder.resolve(name))) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }

  String readLog(String name) throws IOException {
    return Files.readString(folder.resolve(name + ".log"));
  }

  String logFolder() {
    return folder.toString();
  }

  /** Drops the data between an instance and all others silently, in the given directions. */
  void cutOff(String name, boolean outward, boolean inward) {
    links.forEach(
        (link, proxy) -> {
          if (link.startsWith(name)) {
            proxy.drop(outward, inward);
          } else if (link.endsWith(name)) {
            proxy.drop(inward, outward);
          }
        });
  }

  void reconnect() {
    links.values().forEach(LinkProxy::heal);
  }

  Response call(
      String name, String method, String path, String token, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address(name) + path))
            .timeout(Duration.ofSeconds(20))
            .header("Authorization", "Bearer " + token)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      String outcome = response.headers().firstValue("Hickoryspar-Outcome").orElse("");
      return new Response(response.statusCode(), outcome, response.body());
    } catch (IOException e) {
      return new Response(0, "", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Response(0, "", e.toString());
    }
  }

  boolean isReady(String name) {
    return call(name, "GET", "/readyz", "", "").status() == 200;
  }

  JsonNode platformHistory() throws IOException {
    return JSON.readTree(call("platform", "GET", "/history", "", "").body());
  }

  private ObjectNode settings(String name, List<String> names) {
    ObjectNode settings =
        JSON.createObjectNode()
            .put("cluster", "scenario")
            .put("instanceId", name)
            .put("dataCentre", dataCentre(name))
            .put("region", region(dataCentre(name)));
    ObjectNode daemon =
        settings
            .putObject(name.startsWith("c") ? "control" : "entry")
            .put("httpAddress", address(name))
            .put("peerAddress", "127.0.0.1:" + peerPorts.get(name));
    if (name.startsWith("c")) {
      daemon
          .put("dataFolder", folder.resolve(name).toString())
          .put("platformAddress", address("platform"));
    }
    ArrayNode instances = settings.putArray("instances");
    for (String other : names) {
      LinkProxy link = links.get(name + other);
      int port = link == null ? peerPorts.get(other) : link.port();
      instances
          .addObject()
          .put("id", other)
          .put("dataCentre", dataCentre(other))
          .put("region", region(dataCentre(other)))
          .put(
              other.startsWith("c") ? "controlPeerAddress" : "entryPeerAddress",
              "127.0.0.1:" + port);
    }
    ArrayNode tokens = settings.putArray("tokens");
    addToken(tokens, "team", "plates", TEAM_TOKEN);
    addToken(tokens, "team", "previews", "previews-token");
    addToken(tokens, "operator", "maela", "maela-token");
    addToken(tokens, "operator", "yann", "yann-token");
    addToken(tokens, "minion", "catalogue", "minion-token");
    return settings;
  }

  private static void addToken(ArrayNode tokens, String kind, String name, String token) {
    tokens
        .addObject()
        .put("kind", kind)
        .put("name", name)
        .put("sha256", Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString());
  }

  private static String dataCentre(String name) {
    return DATA_CENTRES.get((name.charAt(1) - '1') % DATA_CENTRES.size());
  }

  private static String region(String dataCentre) {
    return dataCentre.equals("rennes-a") ? "rennes" : "finistere";
  }

  static ObjectNode fleetDocument() {
    ObjectNode document = JSON.createObjectNode();
    ObjectNode teams = document.putObject("teams");
    addTeam(teams.putObject("plates"), true);
    addTeam(teams.putObject("previews"), false);
    document.putObject("services").putObject("catalogue");
    ObjectNode dataCentres = document.putObject("dataCentres");
    for (String dataCentre : DATA_CENTRES) {
      dataCentres.putObject(dataCentre).put("region", region(dataCentre));
    }
    return document;
  }

  private static void addTeam(ObjectNode team, boolean guaranteed) {
    team.putObject("quota")
        .put("cores", 960)
        .put("memoryMegabytes", 3_840_000)
        .put("accelerators", 240);
    team.put("weight", 1);
    if (guaranteed) {
      ObjectNode guarantee =
          team.putArray("guarantees")
              .addObject()
              .put("name", "reconstruction")
              .put("tasks", 8)
              .put("adjacency", "worker")
              .put("count", 1);
      guarantee
          .putObject("perTask")
          .put("cores", 1)
          .put("memoryMegabytes", 1_000)
          .put("accelerators", 1);
    }
  }

  private String address(String name) {
    return "127.0.0.1:" + httpPorts.get(name);
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /**
   * Returns a free port below the range from which the kernel assigns ports to outgoing
   * connections.
   */
  private static int freePort() throws IOException {
    while (true) {
      int port = NEXT_PORT.getAndIncrement();
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // In use by another process.
      }
    }
  }

  private static List<String> javaCommand(String mainClass, List<String> arguments) {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", classPath, mainClass));
    command.addAll(arguments);
    return command;
  }

  @Override
  public void close() throws IOException {
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(process -> process.onExit().join());
    for (LinkProxy link : links.values()) {
      link.close();
    }
  }

  record Response(int status, String outcome, String body) {

    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        return JSON.createObjectNode();
      }
    }
  }
}
