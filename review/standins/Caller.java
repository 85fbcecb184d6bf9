import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** A client that submits jobs and asks for their state. */
final class Caller {

  private static final int DEADLINE_MILLIS = 3_000;

  private final Cluster cluster;

  Caller(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Returns a job of one step. */
  static ObjectNode job(int count, int gpu, long workMillis, String label) {
    ObjectNode job = Cluster.MAPPER.createObjectNode().put("Spec", "work " + workMillis);
    ObjectNode step = job.withArray("Steps").addObject();
    step.put("Count", count).put("Cpu", 1000 * gpu).put("MemMb", 1024 * gpu).put("Gpu", gpu);
    step.put("EstimatedMs", workMillis);
    if (!label.isEmpty()) {
      step.put("RequiredLabel", label);
    }
    return job;
  }

  Http.Answer call(Daemon entry, String method, String path, String body) {
    return call(entry, method, path, body, Operator.KEY);
  }

  Http.Answer call(Daemon entry, String method, String path, String body, String key) {
    cluster.record.add("client -> " + entry.name + ' ' + method + ' ' + path + ' ' + body);
    Http.Answer answer =
        Http.send(
            cluster.frontAddress(entry),
            method,
            path,
            Operator.HOST,
            "Authorization: Bearer " + key + "\r\nX-Hickoryspar-Deadline-Ms: "
                + DEADLINE_MILLIS + "\r\n",
            body,
            DEADLINE_MILLIS);
    cluster.record.add(
        "client <- " + entry.name + ' ' + method + ' ' + path + ' '
            + (answer.status() == 0 ? "no response" : answer.status() + " " + answer.body()));
    return answer;
  }

  /** Submits a job, four times more if there is no clear answer; returns whether it is accepted. */
  boolean submit(int queue, String id, ObjectNode job) throws InterruptedException {
    for (int i = 0; i < 5; i++) {
      Daemon entry = cluster.entries.get(i % cluster.entries.size());
      Http.Answer answer = call(entry, "POST", "/queue" + queue + '/' + id, job.toString());
      if (answer.isSuccess()) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Returns the state of a job, or an empty string if there is no answer with a state. */
  String state(int queue, String id) throws IOException {
    for (Daemon entry : cluster.entries) {
      Http.Answer answer = call(entry, "GET", "/queue" + queue + '/' + id, "");
      if (answer.status() == 200) {
        return Cluster.MAPPER.readTree(answer.body()).path("State").asText();
      }
    }
    return "";
  }
}
