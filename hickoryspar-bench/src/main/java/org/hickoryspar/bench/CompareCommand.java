package org.hickoryspar.bench;

import com.google.common.base.Splitter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.kohsuke.args4j.Option;

/** Runs schedulers on the same workloads and writes a report. */
public final class CompareCommand implements Command {

  private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(10);

  @Option(name = "--deployment", usage = "archive, caroni or two-years")
  private String deployment = "archive";

  @Option(name = "--variants", usage = "schedulers to compare, SCHEDULER[:POLICY],...")
  private String variants = "first-fit,guarantee";

  @Option(
      name = "--seeds",
      usage = "first and last seed; 1-10 are for tuning, 101-110 for reporting")
  private String seeds = "1-10";

  @Option(name = "--threads", usage = "runs at a time")
  private int threads = 2;

  @Option(name = "--ideal-clock", usage = "do not add real decision time to the virtual clock")
  private boolean idealClock;

  @Option(name = "--output", usage = "directory for the JSON and HTML reports")
  private String output = "hickoryspar-bench/target/reports";

  /** Makes the command with its default options. */
  public CompareCommand() {}

  @Override
  public int run() throws Exception {
    Deployment place = Deployment.named(deployment);
    List<Variant> chosen = new ArrayList<>();
    for (String text : Splitter.on(',').split(variants)) {
      chosen.add(Variant.parse(text, place.placementPolicy()));
    }
    List<String> range = Splitter.on('-').splitToList(seeds);
    long first = Long.parseLong(range.get(0));
    long last = Long.parseLong(range.get(range.size() - 1));
    List<RunResult> results = runAll(place, chosen, first, last);
    Comparison comparison = new Comparison(place.name(), seeds, results);
    comparison.print(System.out);
    Path written = new ReportWriter(Path.of(output)).write(comparison);
    System.out.println("Report: " + written);
    return 0;
  }

  private List<RunResult> runAll(Deployment place, List<Variant> chosen, long first, long last)
      throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      List<Future<RunResult>> futures = new ArrayList<>();
      for (long seed = first; seed <= last; seed++) {
        for (Variant variant : chosen) {
          long workloadSeed = seed;
          futures.add(executor.submit(() -> runOne(place, variant, workloadSeed)));
        }
      }
      List<RunResult> results = new ArrayList<>();
      for (Future<RunResult> future : futures) {
        results.add(future.get());
      }
      return results;
    } finally {
      executor.shutdownNow();
    }
  }

  private RunResult runOne(Deployment place, Variant variant, long seed) {
    String label = place.name() + ' ' + variant + " seed " + seed;
    long beginNanos = System.nanoTime();
    AtomicLong shownNanos = new AtomicLong(beginNanos);
    WorkloadSimulation platform =
        new WorkloadSimulation(
            WorkloadGenerator.generate(place, seed),
            variant.placementPolicy(),
            variant.newScheduler(),
            idealClock,
            done -> {
              long now = System.nanoTime();
              if (now - shownNanos.get() > PROGRESS_NANOS) {
                shownNanos.set(now);
                System.err.printf(Locale.ROOT, "%s: %.0f%%%n", label, done * 100);
              }
            });
    RunResult result = platform.run().result(variant.toString());
    Map<InvariantViolation, Integer> broken = result.brokenPromises();
    System.err.printf(
        Locale.ROOT,
        "%s: done in %.1f s, broken promises %s%n",
        label,
        (System.nanoTime() - beginNanos) / 1e9,
        broken);
    return result;
  }
}
