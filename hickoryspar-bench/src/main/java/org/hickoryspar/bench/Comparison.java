package org.hickoryspar.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * The results of several variants on the same workloads.
 *
 * @param deployment name of the deployment
 * @param seeds the range of seeds as given on the command line
 * @param runs the result of each run, one per variant and seed
 */
public record Comparison(String deployment, String seeds, List<RunResult> runs) {

  /** Copies the list of runs, which must not contain null. */
  public Comparison {
    runs = List.copyOf(runs);
  }

  /**
   * Mean and range of a figure over the seeds.
   *
   * @param mean arithmetic mean
   * @param min smallest value
   * @param max largest value
   */
  public record Spread(double mean, double min, double max) {

    static Spread of(List<Double> values) {
      double[] array = values.stream().mapToDouble(Double::doubleValue).toArray();
      double min = Double.POSITIVE_INFINITY;
      double max = Double.NEGATIVE_INFINITY;
      double sum = 0;
      for (double value : array) {
        min = Math.min(min, value);
        max = Math.max(max, value);
        sum += value;
      }
      return array.length == 0 ? new Spread(0, 0, 0) : new Spread(sum / array.length, min, max);
    }

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s [%s, %s]", format(mean), format(min), format(max));
    }

    private static String format(double value) {
      return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.3f" : "%.1f", value);
    }
  }

  /**
   * Groups the runs by variant.
   *
   * @return the runs by variant, in the order of the command line
   */
  public Map<String, List<RunResult>> byVariant() {
    Map<String, List<RunResult>> grouped = new LinkedHashMap<>();
    runs.forEach(r -> grouped.computeIfAbsent(r.variant(), v -> new ArrayList<>()).add(r));
    return grouped;
  }

  /**
   * Computes the spread of every figure over the seeds, for each variant.
   *
   * @return the spread by figure and then by variant
   */
  public Map<String, Map<String, Spread>> table() {
    Map<String, Map<String, Spread>> table = new LinkedHashMap<>();
    byVariant()
        .forEach(
            (variant, results) ->
                figures(results.get(0))
                    .forEach(
                        (name, figure) -> {
                          List<Double> values =
                              results.stream().map(r -> figure.applyAsDouble(r)).toList();
                          table
                              .computeIfAbsent(name, key -> new LinkedHashMap<>())
                              .put(variant, Spread.of(values));
                        }));
    return table;
  }

  /**
   * Divides each figure by that of the first variant on the same seed and computes the spread of
   * the ratios.
   *
   * @return the spread of the ratio by figure and then by variant, without the first variant and
   *     without the figures that are 0 for the first variant on any seed
   */
  public Map<String, Map<String, Spread>> ratios() {
    Map<String, List<RunResult>> grouped = byVariant();
    String baselineVariant = runs.get(0).variant();
    List<RunResult> baselineRuns = grouped.getOrDefault(baselineVariant, List.of());
    Map<String, Map<String, Spread>> ratios = new LinkedHashMap<>();
    for (Map.Entry<String, List<RunResult>> entry : grouped.entrySet()) {
      if (entry.getKey().equals(baselineVariant)) {
        continue;
      }
      figures(baselineRuns.get(0))
          .forEach(
              (name, figure) -> {
                List<Double> values = new ArrayList<>();
                for (int i = 0; i < baselineRuns.size(); i++) {
                  double denominator = figure.applyAsDouble(baselineRuns.get(i));
                  if (denominator != 0) {
                    values.add(figure.applyAsDouble(entry.getValue().get(i)) / denominator);
                  }
                }
                if (values.size() == baselineRuns.size()) {
                  ratios
                      .computeIfAbsent(name, key -> new LinkedHashMap<>())
                      .put(entry.getKey(), Spread.of(values));
                }
              });
    }
    return ratios;
  }

  /**
   * Prints the spread of every figure with its ratio to the first variant, and the examples of all
   * runs.
   *
   * @param out receives the text
   */
  public void print(PrintStream out) {
    out.println(deployment + ", seeds " + seeds + ": mean [min, max] over the seeds");
    Map<String, Map<String, Spread>> ratios = ratios();
    table()
        .forEach(
            (name, byVariant) -> {
              out.println(name);
              byVariant.forEach(
                  (variant, spread) -> {
                    Spread ratio = ratios.getOrDefault(name, Map.of()).get(variant);
                    String suffix = ratio == null ? "" : "   ratio " + ratio;
                    out.printf(Locale.ROOT, "  %-32s %s%s%n", variant, spread, suffix);
                  });
            });
    for (RunResult run : runs) {
      for (String example : run.examples()) {
        out.println(run.variant() + " seed " + run.seed() + ": " + example);
      }
    }
  }

  private static Map<String, ToDoubleFunction<RunResult>> figures(RunResult firstRun) {
    Map<String, ToDoubleFunction<RunResult>> figures = new TreeMap<>();
    for (InvariantViolation kind : InvariantViolation.values()) {
      String name = "broken-promise " + kind.name().toLowerCase(Locale.ROOT);
      figures.put(name, run -> run.brokenPromises().getOrDefault(kind, 0));
    }
    firstRun
        .figures()
        .keySet()
        .forEach(name -> figures.put(name, run -> run.figures().getOrDefault(name, 0.0)));
    Distribution emptyDistribution = Distribution.of(List.of());
    firstRun
        .completion()
        .keySet()
        .forEach(
            name ->
                addDistribution(
                    figures,
                    "completion-s " + name,
                    run -> run.completion().getOrDefault(name, emptyDistribution)));
    addDistribution(figures, "urgent-start-s with-capacity", RunResult::urgentWithCapacity);
    addDistribution(figures, "urgent-start-s without-capacity", RunResult::urgentWithoutCapacity);
    addDistribution(figures, "decision-ms all", RunResult::decision);
    addDistribution(figures, "decision-ms on-submission", RunResult::decisionOnSubmission);
    return figures;
  }

  private static void addDistribution(
      Map<String, ToDoubleFunction<RunResult>> figures,
      String name,
      Function<RunResult, Distribution> distribution) {
    figures.put(name + " count", run -> distribution.apply(run).count());
    figures.put(name + " mean", run -> distribution.apply(run).mean());
    figures.put(name + " median", run -> distribution.apply(run).median());
    figures.put(name + " p99", run -> distribution.apply(run).p99());
    figures.put(name + " max", run -> distribution.apply(run).max());
  }
}
