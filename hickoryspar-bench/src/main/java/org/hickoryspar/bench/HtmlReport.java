package org.hickoryspar.bench;

import com.google.common.html.HtmlEscapers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Renders a comparison as one HTML page without external resources. */
final class HtmlReport {

  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse;font-size:13px}"
          + "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
          + "td:first-child{text-align:left}.broken{background:#fcc}svg{margin:1em 0}";

  private final Comparison comparison;

  HtmlReport(Comparison comparison) {
    this.comparison = comparison;
  }

  String render() {
    StringBuilder page = new StringBuilder();
    page.append("<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>")
        .append(escape(comparison.deployment()))
        .append("</title><style>")
        .append(STYLE)
        .append("</style></head><body><h1>Scheduling decisions: ")
        .append(escape(comparison.deployment() + ", seeds " + comparison.seeds()))
        .append("</h1>");
    page.append(
        seriesPlot(
            "Free accelerators that no waiting large shape can use (share)",
            RunResult::fragmentationSeries));
    page.append(seriesPlot("Accelerators of running jobs", RunResult::runningSeries));
    for (String suffix : List.of("median", "mean", "p99")) {
      page.append(barPlot("Completion time, " + suffix + " (s)", "completion-s ", suffix));
    }
    page.append(barPlot("Submission to start of urgent jobs, p99 (s)", "urgent-start-s ", "p99"));
    page.append(barPlot("Duration of decide, p99 (ms)", "decision-ms ", "p99"));
    page.append(table());
    page.append(brokenPromises());
    return page.append("</body></html>\n").toString();
  }

  private String seriesPlot(String title, Function<RunResult, List<Double>> series) {
    Map<String, List<Double>> lines = new LinkedHashMap<>();
    comparison.byVariant().forEach((variant, runs) -> lines.put(variant, meanSeries(runs, series)));
    return SvgPlot.lineChart(title, "hours", 0.5, lines);
  }

  private static List<Double> meanSeries(
      List<RunResult> runs, Function<RunResult, List<Double>> series) {
    int length = runs.stream().mapToInt(run -> series.apply(run).size()).min().orElse(0);
    List<Double> means = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      int index = i;
      means.add(runs.stream().mapToDouble(r -> series.apply(r).get(index)).average().orElse(0));
    }
    return means;
  }

  private String barPlot(String title, String prefix, String suffix) {
    Map<String, Map<String, Comparison.Spread>> groups = new LinkedHashMap<>();
    comparison
        .table()
        .forEach(
            (name, byVariant) -> {
              if (name.startsWith(prefix) && name.endsWith(' ' + suffix)) {
                groups.put(
                    name.substring(prefix.length(), name.length() - suffix.length() - 1),
                    byVariant);
              }
            });
    return SvgPlot.barChart(title, groups);
  }

  private String table() {
    StringBuilder table = new StringBuilder("<h2>All figures: mean [min, max]</h2><table><tr><th>");
    comparison.byVariant().keySet().forEach(v -> table.append("</th><th>").append(escape(v)));
    table.append("</th><th>ratio to the first variant, per seed</th></tr>");
    Map<String, Map<String, Comparison.Spread>> ratios = comparison.ratios();
    comparison
        .table()
        .forEach(
            (name, byVariant) -> {
              boolean broken =
                  name.startsWith("broken-promise")
                      && byVariant.values().stream().anyMatch(spread -> spread.max() > 0);
              table.append(broken ? "<tr class=\"broken\">" : "<tr>");
              table.append("<td>").append(escape(name)).append("</td>");
              byVariant
                  .values()
                  .forEach(spread -> table.append("<td>").append(spread).append("</td>"));
              table.append("<td>");
              ratios
                  .getOrDefault(name, Map.of())
                  .values()
                  .forEach(r -> table.append(r).append(' '));
              table.append("</td></tr>");
            });
    return table.append("</table>").toString();
  }

  private String brokenPromises() {
    StringBuilder list = new StringBuilder("<h2>First broken promises of each run</h2><ul>");
    for (RunResult run : comparison.runs()) {
      for (String example : run.examples()) {
        list.append("<li>")
            .append(escape(run.variant() + ", seed " + run.seed() + ", " + example))
            .append("</li>");
      }
    }
    return list.append("</ul>").toString();
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }
}
