import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/** Many clients hand in a job of many steps at the same moment. Do the entries live on? */
public final class LargeBodies {

  private static final int WAVES = 5;
  private static final int ENDS_PER_MACHINE = 3;
  private static final int ATTEMPTS = 4;

  private LargeBodies() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int clients = Integer.parseInt(arguments[1]);
    int steps = Integer.parseInt(arguments[2]);
    int code;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      code = run(lab, clients, trouble ? steps : 1);
      lab.note("exit " + code);
    }
    System.exit(code);
  }

  private static int run(Lab lab, int clients, int steps) throws Exception {
    if (!Deployment.start(lab, 4, null)) {
      return 2;
    }
    lab.controls.forEach(Lab.Machine::supervise);
    lab.entries.forEach(Lab.Machine::supervise);
    if (Deployment.submit(lab, "00000000000000a0", "/small/", 1, 300) != 200) {
      return 2;
    }
    String body = body(steps);
    for (int wave = 0;
        wave < WAVES && fallen(lab) < lab.entries.size() && lab.elapsedMillis() < 70_000;
        wave++) {
      lab.note("wave " + wave + ": " + clients + " clients hand in a job of " + steps
          + " steps each, " + body.length() + " bytes");
      lab.note("attempts by status, 0 for a broken or refused connection: "
          + submitAtOnce(lab, wave, clients, body));
      lab.note("state of the first job: " + Deployment.state(lab, "00000000000000a0", "/small/", 1));
      Lab.sleep(5_000);
    }
    lab.note("own ends of the entries: " + lab.entries.stream().map(one -> one.ownEnds).toList()
        + ", of control: " + lab.controls.stream().map(one -> one.ownEnds).toList());
    return fallen(lab) >= 2 ? 1 : 0;
  }

  private static long fallen(Lab lab) {
    return lab.entries.stream().filter(one -> one.ownEnds >= ENDS_PER_MACHINE).count();
  }

  private static Map<Integer, Integer> submitAtOnce(Lab lab, int wave, int clients, String body)
      throws InterruptedException {
    Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
    CountDownLatch ended = new CountDownLatch(clients);
    for (int i = 0; i < clients; i++) {
      int client = i;
      Thread thread =
          new Thread(
              () -> {
                int status = 0;
                for (int attempt = 0; attempt < ATTEMPTS && status / 100 != 2; attempt++) {
                  Lab.Machine entry = lab.entries.get((client + attempt) % lab.entries.size());
                  status =
                      Lab.call(entry.ip, Lab.FRONT, "POST",
                              String.format("/large/%08x%08x", 0xb000 + wave, client),
                              Deployment.HOST, Deployment.KEY, body, 3_000)
                          .status();
                  statuses.merge(status, 1, Integer::sum);
                  Lab.sleep(300L << attempt);
                }
                ended.countDown();
              });
      thread.setDaemon(true);
      thread.start();
    }
    ended.await();
    return statuses;
  }

  private static String body(int steps) {
    String image = "images.example/catalogue/reconstruct@sha256:" + "0123456789abcdef".repeat(4);
    StringBuilder body = new StringBuilder("{\"Spec\":\"ms=300\",\"Steps\":[");
    for (int i = 0; i < steps; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"Count\":1,\"Cpu\":1000,\"MemMb\":64,\"EstimatedMs\":300,\"Image\":\"")
          .append(image)
          .append(i == 0 ? "\"}" : "\",\"DependsOn\":[" + (i - 1) + "]}");
    }
    return body.append("]}").toString();
  }
}
