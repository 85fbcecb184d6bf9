import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Large jobs come at once: do the daemons live on, and does small work go on? */
public final class LargeJobs {

  private static final String HOST = "nony24.example";
  private static final String KEY = "d4a3hwrr6x73d3zji9n7";

  private LargeJobs() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int jobs = Integer.parseInt(arguments.length > 1 ? arguments[1] : "8");
    int tasks = Integer.parseInt(arguments.length > 2 ? arguments[2] : "100000");
    int code = 2;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      code = run(lab, trouble ? jobs : 0, tasks);
    }
    System.exit(code);
  }

  private static int run(Lab lab, int jobs, int tasks) throws Exception {
    lab.start(5, 2);
    if (!lab.configure(config(), 20_000)) {
      lab.note("could not run: no configuration was accepted");
      return 2;
    }
    List<String> controls = new ArrayList<>();
    lab.controls.forEach(machine -> controls.add(machine.ip));
    for (int i = 0; i < 8; i++) {
      Minion minion =
          new Minion(lab, "i-" + (100 + i), lab.address(101 + i), "huvo11a", Lab.ZONES[i % 3],
              "r" + (1 + i / 8) + "-1", 32_000, controls);
      minion.start();
      lab.addMinion(minion);
    }
    Lab.sleep(5_000);
    lab.controls.forEach(Lab.Machine::supervise);
    lab.entries.forEach(Lab.Machine::supervise);
    String small = "00000000000000a1";
    lab.note("small job before: " + submit(lab, small, "/small/", 4, 500));
    Lab.sleep(2_500);
    lab.note("state: " + state(lab, small, "/small/"));
    for (int i = 0; i < jobs; i++) {
      String id = String.format("00000000000001%02x", i);
      lab.note("large job " + id + " of " + tasks + " tasks: " + submit(lab, id, "/large/", tasks, 200));
    }
    for (int i = 0; i < 12; i++) {
      String id = String.format("00000000000002%02x", i);
      lab.note("small job " + id + ": " + submit(lab, id, "/small/", 2, 500));
      Lab.sleep(3_000);
      lab.note("state of it: " + state(lab, id, "/small/") + "; starts " + Minion.STARTS.get()
          + ", done " + Minion.DONE.get() + ", lapsed " + Minion.LAPSED.get());
    }
    int ends = lab.controls.stream().mapToInt(machine -> machine.ownEnds).sum();
    lab.note("processes that ended by themselves: " + ends);
    return ends > 0 ? 1 : 0;
  }

  private static String submit(Lab lab, String id, String prefix, int tasks, int millis) {
    String body = "{\"Spec\":\"ms=" + millis + "\",\"Steps\":[{\"Count\":" + tasks
        + ",\"Cpu\":1000,\"MemMb\":64,\"EstimatedMs\":" + millis + "}]}";
    Lab.Answer answer =
        Lab.call(lab.entries.get(0).ip, Lab.FRONT, "POST", prefix + id, HOST, KEY, body, 3_000);
    return answer.status() + " " + answer.body();
  }

  private static String state(Lab lab, String id, String prefix) {
    Lab.Answer answer =
        Lab.call(lab.entries.get(1).ip, Lab.FRONT, "GET", prefix + id, HOST, KEY, null, 3_000);
    return answer.status() + " " + answer.body();
  }

  private static String config() {
    return "{\"Version\":7,\"Routes\":[" + route("r-1", "/small/", 0) + "," + route("r-2", "/large/", 2)
        + "],\"Services\":[{\"Name\":\"huvo11a\",\"HealthPath\":\"/health\",\"MaxConnections\":64,"
        + "\"Protocol\":\"h1\",\"Tls\":false,\"AdmissionCheck\":false,\"Standby\":false}],"
        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,"
        + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"kaje80\",\"ApiKeys\":[\"" + KEY + "\"],"
        + "\"Priority\":1,\"Guaranteed\":{\"Gpu\":8},\"AllowedRegions\":[]}]}";
  }

  private static String route(String name, String prefix, int priority) {
    return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
        + "\",\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetCompletionMs\":3000,\"Priority\":"
        + priority + ",\"Service\":\"huvo11a\",\"MaxAttempts\":4,\"Stretch\":3.0,\"Public\":false,"
        + "\"AllowedRegions\":[]}";
  }
}
