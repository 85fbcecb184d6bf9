package org.hickoryspar.bench;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Renders charts as inline SVG. */
final class SvgPlot {

  private static final int WIDTH = 860;
  private static final int HEIGHT = 260;
  private static final int MARGIN = 60;
  private static final List<String> COLOURS =
      List.of("#c0392b", "#2471a3", "#1e8449", "#b7950b", "#6c3483");

  private SvgPlot() {}

  /** Renders one line per series over a common horizontal axis. */
  static String lineChart(
      String title, String unit, double unitsPerPoint, Map<String, List<Double>> series) {
    double maxValue =
        positiveOrOne(
            series.values().stream()
                .flatMap(List::stream)
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0));
    int points = Math.max(2, series.values().stream().mapToInt(List::size).max().orElse(0));
    StringBuilder svg = startChart(title, maxValue);
    int colour = 0;
    for (Map.Entry<String, List<Double>> line : series.entrySet()) {
      StringBuilder path = new StringBuilder();
      for (int i = 0; i < line.getValue().size(); i++) {
        double x = MARGIN + (WIDTH - 2.0 * MARGIN) * i / (points - 1);
        path.append(formatNumber(x))
            .append(',')
            .append(formatNumber(y(line.getValue().get(i), maxValue)));
        path.append(' ');
      }
      svg.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"")
          .append(COLOURS.get(colour % COLOURS.size()))
          .append("\" points=\"")
          .append(path)
          .append("\"/>");
      appendLegend(svg, colour++, line.getKey());
    }
    appendText(
        svg,
        WIDTH - MARGIN,
        HEIGHT - 25,
        "end",
        formatNumber((points - 1) * unitsPerPoint) + ' ' + unit);
    return svg.append("</svg>").toString();
  }

  /** Renders groups of bars; a thin line on each bar shows the range over the seeds. */
  static String barChart(String title, Map<String, Map<String, Comparison.Spread>> groups) {
    double maxValue =
        positiveOrOne(
            groups.values().stream()
                .flatMap(group -> group.values().stream())
                .mapToDouble(Comparison.Spread::max)
                .max()
                .orElse(0));
    StringBuilder svg = startChart(title, maxValue);
    double groupWidth = (WIDTH - 2.0 * MARGIN) / Math.max(1, groups.size());
    double left = MARGIN;
    for (Map.Entry<String, Map<String, Comparison.Spread>> group : groups.entrySet()) {
      double barWidth = groupWidth * 0.8 / group.getValue().size();
      int colour = 0;
      for (Map.Entry<String, Comparison.Spread> bar : group.getValue().entrySet()) {
        double x = left + colour * barWidth;
        double mean = y(bar.getValue().mean(), maxValue);
        svg.append(
            String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>"
                    + "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"black\"/>",
                x,
                mean,
                barWidth * 0.9,
                y(0, maxValue) - mean,
                COLOURS.get(colour % COLOURS.size()),
                x + barWidth * 0.45,
                x + barWidth * 0.45,
                y(bar.getValue().min(), maxValue),
                y(bar.getValue().max(), maxValue)));
        appendLegend(svg, colour++, bar.getKey());
      }
      appendText(svg, left, HEIGHT - 25, "start", group.getKey());
      left += groupWidth;
    }
    return svg.append("</svg>").toString();
  }

  private static StringBuilder startChart(String title, double maxValue) {
    StringBuilder svg = new StringBuilder();
    svg.append("<svg width=\"").append(WIDTH).append("\" height=\"").append(HEIGHT);
    svg.append("\" xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" ");
    svg.append("font-size=\"11\"><rect width=\"100%\" height=\"100%\" fill=\"#fafafa\"/>");
    appendText(svg, MARGIN, 18, "start", title);
    appendText(svg, MARGIN - 4, y(maxValue, maxValue) + 4, "end", formatNumber(maxValue));
    appendText(svg, MARGIN - 4, y(0, maxValue), "end", "0");
    svg.append("<line stroke=\"black\" x1=\"").append(MARGIN);
    svg.append("\" x2=\"").append(WIDTH - MARGIN);
    svg.append("\" y1=\"").append(formatNumber(y(0, maxValue)));
    svg.append("\" y2=\"").append(formatNumber(y(0, maxValue))).append("\"/>");
    return svg;
  }

  private static void appendLegend(StringBuilder svg, int index, String label) {
    svg.append("<rect width=\"10\" height=\"10\" fill=\"")
        .append(COLOURS.get(index % COLOURS.size()))
        .append("\" y=\"")
        .append(HEIGHT - 16)
        .append("\" x=\"")
        .append(MARGIN + index * 240)
        .append("\"/>");
    appendText(svg, MARGIN + index * 240 + 14, HEIGHT - 7, "start", label);
  }

  private static void appendText(
      StringBuilder svg, double x, double y, String anchor, String text) {
    svg.append("<text x=\"").append(formatNumber(x)).append("\" y=\"").append(formatNumber(y));
    svg.append("\" text-anchor=\"").append(anchor).append("\">");
    svg.append(HtmlEscapers.htmlEscaper().escape(text)).append("</text>");
  }

  private static double y(double value, double maxValue) {
    return 30 + (HEIGHT - 70) * (1 - value / maxValue);
  }

  private static double positiveOrOne(double maxValue) {
    return maxValue > 0 ? maxValue : 1;
  }

  private static String formatNumber(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%.0f", value);
  }
}
