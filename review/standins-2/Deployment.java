import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The small deployment and the calls that the cases have in common. */
final class Deployment {

  static final String HOST = "nony24.example";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final String SERVICE = "huvo11a";

  private Deployment() {}

  /** Starts 5 control daemons, 2 entries and the minions; returns false if that does not succeed. */
  static boolean start(Lab lab, int minionCount, Judge judge) throws IOException {
    lab.start(5, 2);
    if (!lab.configure(config(), 25_000)) {
      lab.note("could not run: no configuration was accepted");
      return false;
    }
    List<String> controls = new ArrayList<>();
    lab.controls.forEach(machine -> controls.add(machine.ip));
    for (int i = 0; i < minionCount; i++) {
      Minion minion =
          new Minion(lab, "i-" + (100 + i), lab.address(101 + i), SERVICE, Lab.ZONES[i % 3],
              "r" + (1 + i / 8) + "-1", 32_000, controls);
      minion.judge = judge;
      minion.start();
      lab.addMinion(minion);
    }
    Lab.sleep(4_000);
    return true;
  }

  /** Submits a job with one step, with the retries of a client; returns the last status. */
  static int submit(Lab lab, String id, String prefix, int tasks, int millis) {
    String body = "{\"Spec\":\"ms=" + millis + "\",\"Steps\":[{\"Count\":" + tasks
        + ",\"Cpu\":1000,\"MemMb\":64,\"EstimatedMs\":" + millis + "}]}";
    int status = 0;
    for (int attempt = 0; attempt < 4 && status / 100 != 2 && status / 100 != 4; attempt++) {
      Lab.Machine entry = lab.entries.get(attempt % lab.entries.size());
      Lab.Answer answer =
          Lab.call(entry.ip, Lab.FRONT, "POST", prefix + id, HOST, KEY, body, 3_000);
      status = answer.status();
      lab.note("client POST " + prefix + id + ", " + tasks + " tasks, at " + entry.name + ": "
          + status + " " + answer.body());
    }
    return status;
  }

  /** Asks one entry for the state of a job; returns the status and the body. */
  static String state(Lab lab, String id, String prefix, int entry) {
    Lab.Answer answer =
        Lab.call(lab.entries.get(entry).ip, Lab.FRONT, "GET", prefix + id, HOST, KEY, null, 3_000);
    return answer.status() + " " + answer.body();
  }

  static String config() {
    return "{\"Version\":7,\"Routes\":[" + route("r-1", "/small/", 0) + "," + route("r-2", "/large/", 2)
        + "],\"Services\":[{\"Name\":\"" + SERVICE + "\",\"HealthPath\":\"/health\","
        + "\"MaxConnections\":64,"
        + "\"Protocol\":\"h1\",\"Tls\":false,\"AdmissionCheck\":false,\"Standby\":false}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
        + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"kaje80\",\"ApiKeys\":[\"" + KEY + "\"],"
        + "\"Priority\":1,\"Guaranteed\":{\"Gpu\":8},\"AllowedRegions\":[]}]}";
  }

  private static String route(String name, String prefix, int priority) {
    return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
        + "\",\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetCompletionMs\":3000,\"Priority\":"
        + priority + ",\"Service\":\"" + SERVICE + "\",\"MaxAttempts\":4,\"Stretch\":3.0,\"Public\":false,"
        + "\"AllowedRegions\":[]}";
  }
}
