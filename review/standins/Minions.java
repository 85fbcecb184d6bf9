import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** All minions of a case, with what runs on them. */
final class Minions implements AutoCloseable {

  static final long HEARTBEAT_MILLIS = 1_500;

  final Cluster cluster;
  final Record record;
  final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);
  final List<Minion> all = new ArrayList<>();

  /** Minions that run a task now, by the name of the task. */
  private final Map<String, Map<String, Integer>> runsByTask = new HashMap<>();

  /** Number of starts of each task. */
  private final Map<String, Integer> startsByTask = new HashMap<>();

  Minions(Cluster cluster) {
    this.cluster = cluster;
    this.record = cluster.record;
  }

  Minion add(String id, String zone, String kind, String rack) throws java.io.IOException {
    Minion minion = new Minion(this, id, zone, kind, rack);
    all.add(minion);
    return minion;
  }

  synchronized void taskStarted(String task, int run, String minion) {
    startsByTask.merge(task, 1, Integer::sum);
    Map<String, Integer> running = runsByTask.computeIfAbsent(task, t -> new HashMap<>());
    running.put(minion, run);
    record.add("minion " + minion + " runs " + task + " run " + run);
    if (running.size() > 1) {
      record.addViolation("TWICE: two runs of " + task + " at the same time, on " + running);
    }
  }

  synchronized void taskEnded(String task, int run, String minion, String how) {
    runsByTask.getOrDefault(task, new HashMap<>()).remove(minion);
    record.add("minion " + minion + " ended " + task + " run " + run + ' ' + how);
  }

  synchronized int starts(String task) {
    return startsByTask.getOrDefault(task, 0);
  }

  @Override
  public void close() {
    all.forEach(Minion::close);
    timer.shutdownNow();
    executor.shutdownNow();
  }

  static ObjectNode newObject() {
    return Cluster.MAPPER.createObjectNode();
  }

  void schedule(Runnable task, long delayMillis) {
    timer.schedule(() -> executor.execute(task), delayMillis, TimeUnit.MILLISECONDS);
  }
}
