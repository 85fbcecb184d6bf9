import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Future;

/**
 * An entry is frozen while jobs are handed in, and the callers' key is taken away meanwhile. The
 * entry takes the answers that have arrived for lost, asks again, and refuses jobs that run.
 */
final class FalseRefusalCase extends Case {

  private static final int ROUNDS = 12;
  private static final int JOBS_PER_ROUND = 4;
  private static final long JOB_GAP_MILLIS = 3;
  private static final long FREEZE_MILLIS = 2_000;

  private final Map<String, Http.Answer> answers = new LinkedHashMap<>();
  private long version = 1;

  FalseRefusalCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), FalseRefusalCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 12; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    awaitService();
    for (int i = 0; i < minions.all.size(); i++) {
      minions.all.get(i).begin(i % 5, (i * 7 % 12) * Minions.HEARTBEAT_MILLIS / 12);
    }
    Thread.sleep(4_000);
    Process shell = new ProcessBuilder("sh").start();
    try (OutputStream commands = shell.getOutputStream()) {
      for (int round = 0; round < ROUNDS && record.violations().isEmpty(); round++) {
        putKeys(true);
        Thread.sleep(500);
        playRound(round, commands);
      }
    } finally {
      shell.destroy();
    }
  }

  private void playRound(int round, OutputStream commands) throws Exception {
    Daemon entry = cluster.entries.get(0);
    // Two calls load what the entry needs, so that the next ones take their usual time.
    caller.call(entry, "GET", "/queue1/00000000000000aa", "", Operator.REVOKED_KEY);
    caller.call(entry, "GET", "/queue1/00000000000000aa", "", Operator.REVOKED_KEY);
    List<Future<?>> calls = new ArrayList<>();
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS_PER_ROUND; i++) {
      String id = String.format("%016x", 0xa000 + round * JOBS_PER_ROUND + i);
      ids.add(id);
      Callable<Boolean> call = () -> handIn(entry, id);
      calls.add(minions.executor.submit(call));
      Thread.sleep(JOB_GAP_MILLIS);
    }
    if (trouble) {
      send(commands, "kill -STOP " + entry.pid());
      record.add("process " + entry.name + " is stopped");
    }
    Thread.sleep(200);
    putKeys(false);
    Thread.sleep(FREEZE_MILLIS - 400);
    if (trouble) {
      send(commands, "kill -CONT " + entry.pid());
      record.add("process " + entry.name + " goes on");
    }
    for (Future<?> call : calls) {
      call.get();
    }
    Thread.sleep(1_500);
    for (String id : ids) {
      check(id);
    }
  }

  private static void send(OutputStream commands, String command) throws IOException {
    commands.write((command + '\n').getBytes(StandardCharsets.UTF_8));
    commands.flush();
  }

  private boolean handIn(Daemon entry, String id) {
    Http.Answer answer =
        caller.call(
            entry, "POST", "/queue1/" + id, Caller.job(1, 1, 1_000, "").toString(),
            Operator.REVOKED_KEY);
    synchronized (answers) {
      answers.put(id, answer);
    }
    return answer.isSuccess();
  }

  private void check(String id) {
    int status;
    synchronized (answers) {
      status = answers.get(id).status();
    }
    int starts = minions.starts(id + ".0.0.0");
    record.add("job " + id + ": its only attempt got " + status + ", starts " + starts);
    if (starts > 0 && status >= 400 && status < 500) {
      record.addViolation(
          "REFUSED: the only attempt to hand in " + id + " was rejected with " + status
              + ", and its task was started");
    }
  }

  private void putKeys(boolean withCallersKey) throws Exception {
    ObjectNode config = Operator.config(++version, 8);
    if (withCallersKey) {
      ((ArrayNode) config.path("Tenants").path(0).path("ApiKeys")).add(Operator.REVOKED_KEY);
    }
    require(
        operator.order(cluster.controls, "PUT", "/config", config.toString(), 4_000),
        "a configuration was not accepted");
  }
}
