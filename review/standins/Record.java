import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run to record.txt, and collects broken rules. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;
  private final List<String> violations = new ArrayList<>();

  Record(Path folder) throws IOException {
    writer =
        new PrintWriter(
            Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
  }

  /** Returns the milliseconds since the start of the case. */
  long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String line) {
    writer.printf("%7.3f %s%n", nowMillis() / 1000.0, line);
    writer.flush();
  }

  synchronized void addViolation(String line) {
    violations.add(line);
    add("BROKEN " + line);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
