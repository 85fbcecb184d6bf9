package org.hickoryspar.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.kohsuke.args4j.Option;

/**
 * Prints the resident set size of this process before and after it loads a scheduler.
 *
 * <p>The first figure is that of the Java runtime; the difference is that of the scheduler's state.
 */
public final class ResidentCommand implements Command {

  @Option(name = "--scheduler", usage = "SCHEDULER[:POLICY]")
  private String scheduler = "first-fit";

  @Option(name = "--workers", usage = "number of workers; 0 for the idle process only")
  private int workers = Deployment.TWO_YEAR_WORKERS;

  @Option(name = "--tasks", usage = "number of running tasks")
  private int tasks = 9_900;

  /** Creates the command with default options. */
  public ResidentCommand() {}

  @Override
  public int run() throws IOException {
    System.gc();
    print("idle");
    if (workers > 0) {
      SteadyState state =
          new SteadyState(Variant.parse(scheduler, "fragmentation"), workers, tasks, 0);
      System.gc();
      print("loaded with " + workers + " workers and " + state.runningTasks() + " tasks");
    }
    return 0;
  }

  private static void print(String label) throws IOException {
    Runtime runtime = Runtime.getRuntime();
    double heap = (runtime.totalMemory() - runtime.freeMemory()) / 1e6;
    String resident =
        Files.readAllLines(Path.of("/proc/self/status")).stream()
            .filter(line -> line.startsWith("VmRSS:"))
            .findFirst()
            .orElse("VmRSS: unknown");
    System.out.printf(Locale.ROOT, "%s: heap in use %.1f MB, %s%n", label, heap, resident);
  }
}
