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

/** Runs several schedulers on the same workloads, prints their figures and writes a report. */
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

  @Option(name = "--threads", usage = "number of concurrent runs")
  private int threads = 2;

  @Option(
      name = "--ideal-clock",
      usage = "do not advance the virtual clock by measured decision times")
  private boolean idealClock;

  @Option(name = "--output", usage = "directory for the JSON and HTML reports")
  private String output = "hickoryspar-bench/target/reports";

  /** Creates the command with default options. */
  public CompareCommand() {}

  @Override
  public int run() throws Exception {
    Deployment selected = Deployment.named(deployment);
    List<Variant> selectedVariants = new ArrayList<>();
    for (String text : Splitter.on(',').split(variants)) {
      selectedVariants.add(Variant.parse(text, selected.placementPolicy()));
    }
    List<String> seedRange = Splitter.on('-').splitToList(seeds);
    long firstSeed = Long.parseLong(seedRange.get(0));
    long lastSeed = Long.parseLong(seedRange.get(seedRange.size() - 1));
    List<RunResult> results = runAll(selected, selectedVariants, firstSeed, lastSeed);
    Comparison comparison = new Comparison(selected.name(), seeds, results);
    comparison.print(System.out);
    Path page = new ReportWriter(Path.of(output)).write(comparison);
    System.out.println("Report: " + page);
    return 0;
  }

  private List<RunResult> runAll(
      Deployment selected, List<Variant> selectedVariants, long firstSeed, long lastSeed)
      throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(threads);
    try {
      List<Future<RunResult>> futures = new ArrayList<>();
      for (long seed = firstSeed; seed <= lastSeed; seed++) {
        for (Variant variant : selectedVariants) {
          long workloadSeed = seed;
          futures.add(executor.submit(() -> runOne(selected, variant, workloadSeed)));
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

  private RunResult runOne(Deployment selected, Variant variant, long seed) {
    String label = selected.name() + ' ' + variant + " seed " + seed;
    long beginNanos = System.nanoTime();
    AtomicLong lastProgressNanos = new AtomicLong(beginNanos);
    WorkloadSimulation simulation =
        new WorkloadSimulation(
            WorkloadGenerator.generate(selected, seed),
            variant.placementPolicy(),
            variant.newScheduler(),
            idealClock,
            progress -> {
              long nowNanos = System.nanoTime();
              if (nowNanos - lastProgressNanos.get() > PROGRESS_NANOS) {
                lastProgressNanos.set(nowNanos);
                System.err.printf(Locale.ROOT, "%s: %.0f%%%n", label, progress * 100);
              }
            });
    RunResult result = simulation.run().result(variant.toString());
    Map<InvariantViolation, Integer> violations = result.brokenPromises();
    System.err.printf(
        Locale.ROOT,
        "%s: done in %.1f s, broken promises %s%n",
        label,
        (System.nanoTime() - beginNanos) / 1e9,
        violations);
    return result;
  }
}
