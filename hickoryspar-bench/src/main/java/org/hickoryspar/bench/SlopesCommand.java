package org.hickoryspar.bench;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.kohsuke.args4j.Option;

/**
 * Measures how the decision time and the heap use of a scheduler grow with the workers, the running
 * tasks and the waiting gangs, and fits lines.
 */
public final class SlopesCommand implements Command {

  private static final int WARM_UP_CALLS = 300;
  private static final int MEASURED_CALLS = 2_000;
  private static final int TWO_YEAR_TASKS = 9_900;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  @Option(name = "--scheduler", usage = "SCHEDULER[:POLICY]")
  private String scheduler = "first-fit";

  @Option(name = "--calls", usage = "number of measured decisions per point")
  private int calls = MEASURED_CALLS;

  @Option(name = "--sizes", usage = "numbers of workers; the other two tables use the last one")
  private String sizes = "120,480,960,1360,1700";

  private record Point(double x, double medianMillis, double p99Millis, double megabytes) {}

  /** Creates the command with default options. */
  public SlopesCommand() {}

  @Override
  public int run() {
    Variant variant = Variant.parse(scheduler, "fragmentation");
    List<Integer> workerCounts = new ArrayList<>();
    for (String size : Splitter.on(',').split(sizes)) {
      workerCounts.add(Integer.parseInt(size));
    }
    int largestFleet = workerCounts.get(workerCounts.size() - 1);
    int taskCount = tasksFor(largestFleet);
    // Discards a first measurement, whose time and heap use include loading and compiling classes.
    measure(variant, workerCounts.get(0), tasksFor(workerCounts.get(0)), 0, 0);
    List<Point> byWorkers = new ArrayList<>();
    for (int count : workerCounts) {
      byWorkers.add(measure(variant, count, tasksFor(count), 0, count));
    }
    print(variant + ", by workers with tasks in proportion", byWorkers, largestFleet);
    List<Point> byTasks = new ArrayList<>();
    for (int quarter = 0; quarter <= 4; quarter++) {
      int tasks = taskCount * quarter / 4;
      byTasks.add(measure(variant, largestFleet, tasks, 0, -1));
    }
    print(variant + ", by running tasks on " + largestFleet + " workers", byTasks, taskCount);
    List<Point> byQueue = new ArrayList<>();
    for (int waiting : List.of(0, 100, 200, 400, 800)) {
      byQueue.add(measure(variant, largestFleet, taskCount, waiting, waiting));
    }
    print(variant + ", by waiting large gangs on " + largestFleet + " workers", byQueue, 800);
    return 0;
  }

  private static int tasksFor(int workers) {
    return (int) ((long) TWO_YEAR_TASKS * workers / Deployment.TWO_YEAR_WORKERS);
  }

  /** Measures one point; -1 for {@code x} stands for the number of running tasks. */
  private Point measure(Variant variant, int workers, int tasks, int waiting, int x) {
    System.err.printf(Locale.ROOT, "%d workers, %d tasks, %d waiting%n", workers, tasks, waiting);
    double heapBytesBefore = usedHeapBytesAfterGc();
    SteadyState state = new SteadyState(variant, workers, tasks, waiting);
    double megabytes = (usedHeapBytesAfterGc() - heapBytesBefore) / BYTES_PER_MEGABYTE;
    int runningTasks = state.runningTasks();
    List<Double> millis = new ArrayList<>();
    for (int i = 0; i < WARM_UP_CALLS + calls; i++) {
      JobRequest job = state.newJob("team-" + (1 + i % 4), i);
      state.scheduler().jobQueued(job);
      long startNanos = System.nanoTime();
      List<Decision> decisions = state.scheduler().decide(state.nowMillis());
      double elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
      if (i >= WARM_UP_CALLS) {
        millis.add(elapsedMillis);
      }
      state.undo(job, decisions);
    }
    Distribution time = Distribution.of(millis);
    return new Point(x < 0 ? runningTasks : x, time.median(), time.p99(), megabytes);
  }

  private static void print(String title, List<Point> points, double target) {
    System.out.println(title);
    System.out.println("         size  median ms     p99 ms   state MB");
    for (Point point : points) {
      System.out.printf(
          Locale.ROOT,
          "%13.0f %10.4f %10.4f %10.3f%n",
          point.x(),
          point.medianMillis(),
          point.p99Millis(),
          point.megabytes());
    }
    fit("median ms", points, Point::medianMillis, target);
    fit("p99 ms", points, Point::p99Millis, target);
    fit("state MB", points, Point::megabytes, target);
    System.out.println();
  }

  private static void fit(
      String name, List<Point> points, ToDoubleFunction<Point> value, double target) {
    List<Double> xs = points.stream().map(Point::x).toList();
    List<Double> ys = points.stream().map(point -> value.applyAsDouble(point)).toList();
    LinearFit fit = LinearFit.of(xs, ys);
    System.out.printf(
        Locale.ROOT, "  %-10s %s; at %.0f: %.4g%n", name, fit, target, fit.valueAt(target));
  }

  /** Returns the smallest heap use after five garbage collections; one may leave garbage. */
  private static double usedHeapBytesAfterGc() {
    Runtime runtime = Runtime.getRuntime();
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < 5; i++) {
      System.gc();
      minBytes = Math.min(minBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return minBytes;
  }
}
