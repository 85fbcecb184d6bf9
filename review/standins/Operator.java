import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;

/** An operator that sends each order to one control process after the other until it is answered. */
final class Operator {

  static final String HOST = "nony24.example";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final String REVOKED_KEY = "3hh2b9wu3fexd9dnn2ct";
  static final String SERVICE = "pumpdiag";

  private final Cluster cluster;

  Operator(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Returns a configuration with three queues and some more idle routes. */
  static ObjectNode config(long version, int idleRoutes) {
    return config(version, idleRoutes, List.of(SERVICE), SERVICE);
  }

  /** Returns a configuration with several services, one of which all queues are sent to. */
  static ObjectNode config(
      long version, int idleRoutes, List<String> services, String queueService) {
    ObjectNode node = Cluster.MAPPER.createObjectNode().put("Version", version);
    for (int priority = 0; priority < 3; priority++) {
      addRoute(node, "r-queue" + priority, "/queue" + priority + '/', priority, queueService);
    }
    for (int i = 0; i < idleRoutes; i++) {
      addRoute(
          node, String.format("r-idle%04d", i), String.format("/idle%04d/", i), 2, queueService);
    }
    for (String name : services) {
      ObjectNode service = node.withArray("Services").addObject();
      service.put("Name", name).put("HealthPath", "/health").put("MaxConnections", 64);
      service.put("Protocol", "h1").put("Tls", false).put("ColdStartS", 0.0).put("ColdPerS", 0.0);
      service.put("AdmissionCheck", false).put("Standby", false);
    }
    node.putObject("Limits").put("MaxHeaderBytes", 16384).put("MaxBodyBytes", 262144)
        .put("HeaderTimeoutMs", 3000).put("IdleTimeoutMs", 15000);
    ObjectNode tenant = node.withArray("Tenants").addObject().put("Name", "kaje80");
    tenant.putArray("ApiKeys").add(KEY);
    tenant.put("Priority", 1).putObject("Guaranteed").put("Gpu", 48);
    tenant.putArray("AllowedRegions");
    return node;
  }

  private static void addRoute(
      ObjectNode config, String name, String pathPrefix, int priority, String service) {
    ObjectNode route = config.withArray("Routes").addObject();
    route.put("Name", name).put("Hostname", HOST).put("PathPrefix", pathPrefix);
    route.put("Type", "non_idempotent").put("TimeoutMs", 3000).put("TargetCompletionMs", 1200);
    route.put("Priority", priority).put("Service", service).put("MaxAttempts", 4);
    route.put("Stretch", 3.0).put("Public", false).putArray("AllowedRegions");
  }

  Http.Answer sendTo(Daemon control, String method, String path, String body, int timeoutMillis) {
    cluster.record.add(
        "operator -> " + control.name + ' ' + method + ' ' + path
            + (body.isEmpty() ? "" : " (" + body.length() + " bytes)"));
    Http.Answer answer =
        Http.send(
            cluster.controlAddress(control), method, path, control.ip, "", body, timeoutMillis);
    cluster.record.add(
        "operator <- " + control.name + ' ' + method + ' ' + path + ' '
            + (answer.status() == 0 ? "no response" : answer.status()));
    return answer;
  }

  /** Sends an order to the given processes in turn until one acknowledges it. */
  boolean order(List<Daemon> controls, String method, String path, String body, long timeoutMillis)
      throws InterruptedException {
    long end = cluster.record.nowMillis() + timeoutMillis;
    long pauseMillis = 50;
    for (int i = 0; cluster.record.nowMillis() < end; i++) {
      int answerMillis = 1_000 + body.length() / 1_000;
      Http.Answer answer =
          sendTo(controls.get(i % controls.size()), method, path, body, answerMillis);
      if (answer.isSuccess()) {
        return true;
      }
      if (answer.status() >= 400 && answer.status() < 500) {
        return false;
      }
      Thread.sleep(pauseMillis);
      pauseMillis = Math.min(800, pauseMillis * 2);
    }
    return false;
  }

  boolean putConfig(long version, int idleRoutes, long timeoutMillis)
      throws IOException, InterruptedException {
    return order(
        cluster.controls, "PUT", "/config", config(version, idleRoutes).toString(), timeoutMillis);
  }
}
