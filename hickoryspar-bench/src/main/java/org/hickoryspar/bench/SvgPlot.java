package org.hickoryspar.bench;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws plots as inline SVG. */
final class SvgPlot {

  private static final int WIDTH = 860;
  private static final int HEIGHT = 260;
  private static final int MARGIN = 60;
  private static final List<String> COLOURS =
      List.of("#c0392b", "#2471a3", "#1e8449", "#b7950b", "#6c3483");

  private SvgPlot() {}

  /** Draws one line per series over a common horizontal axis. */
  static String lines(
      String title, String unit, double unitsPerPoint, Map<String, List<Double>> series) {
    double top =
        nonZero(
            series.values().stream()
                .flatMap(List::stream)
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0));
    int points = Math.max(2, series.values().stream().mapToInt(List::size).max().orElse(0));
    StringBuilder svg = begin(title, top);
    int colour = 0;
    for (Map.Entry<String, List<Double>> line : series.entrySet()) {
      StringBuilder path = new StringBuilder();
      for (int i = 0; i < line.getValue().size(); i++) {
        double x = MARGIN + (WIDTH - 2.0 * MARGIN) * i / (points - 1);
        path.append(number(x)).append(',').append(number(y(line.getValue().get(i), top)));
        path.append(' ');
      }
      svg.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"")
          .append(COLOURS.get(colour % COLOURS.size()))
          .append("\" points=\"")
          .append(path)
          .append("\"/>");
      legend(svg, colour++, line.getKey());
    }
    text(
        svg, WIDTH - MARGIN, HEIGHT - 25, "end", number((points - 1) * unitsPerPoint) + ' ' + unit);
    return svg.append("</svg>").toString();
  }

  /** Draws groups of bars with the spread over seeds as a thin line. */
  static String bars(String title, Map<String, Map<String, Comparison.Spread>> groups) {
    double top =
        nonZero(
            groups.values().stream()
                .flatMap(group -> group.values().stream())
                .mapToDouble(Comparison.Spread::max)
                .max()
                .orElse(0));
    StringBuilder svg = begin(title, top);
    double groupWidth = (WIDTH - 2.0 * MARGIN) / Math.max(1, groups.size());
    double left = MARGIN;
    for (Map.Entry<String, Map<String, Comparison.Spread>> group : groups.entrySet()) {
      double barWidth = groupWidth * 0.8 / group.getValue().size();
      int colour = 0;
      for (Map.Entry<String, Comparison.Spread> bar : group.getValue().entrySet()) {
        double x = left + colour * barWidth;
        double mean = y(bar.getValue().mean(), top);
        svg.append(
            String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>"
                    + "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"black\"/>",
                x,
                mean,
                barWidth * 0.9,
                y(0, top) - mean,
                COLOURS.get(colour % COLOURS.size()),
                x + barWidth * 0.45,
                x + barWidth * 0.45,
                y(bar.getValue().min(), top),
                y(bar.getValue().max(), top)));
        legend(svg, colour++, bar.getKey());
      }
      text(svg, left, HEIGHT - 25, "start", group.getKey());
      left += groupWidth;
    }
    return svg.append("</svg>").toString();
  }

  private static StringBuilder begin(String title, double top) {
    StringBuilder svg = new StringBuilder();
    svg.append("<svg width=\"").append(WIDTH).append("\" height=\"").append(HEIGHT);
    svg.append("\" xmlns=\"http://www.w3.org/2000/svg\" font-family=\"sans-serif\" ");
    svg.append("font-size=\"11\"><rect width=\"100%\" height=\"100%\" fill=\"#fafafa\"/>");
    text(svg, MARGIN, 18, "start", title);
    text(svg, MARGIN - 4, y(top, top) + 4, "end", number(top));
    text(svg, MARGIN - 4, y(0, top), "end", "0");
    svg.append("<line stroke=\"black\" x1=\"").append(MARGIN);
    svg.append("\" x2=\"").append(WIDTH - MARGIN);
    svg.append("\" y1=\"").append(number(y(0, top)));
    svg.append("\" y2=\"").append(number(y(0, top))).append("\"/>");
    return svg;
  }

  private static void legend(StringBuilder svg, int index, String label) {
    svg.append("<rect width=\"10\" height=\"10\" fill=\"")
        .append(COLOURS.get(index % COLOURS.size()))
        .append("\" y=\"")
        .append(HEIGHT - 16)
        .append("\" x=\"")
        .append(MARGIN + index * 240)
        .append("\"/>");
    text(svg, MARGIN + index * 240 + 14, HEIGHT - 7, "start", label);
  }

  private static void text(StringBuilder svg, double x, double y, String anchor, String text) {
    svg.append("<text x=\"").append(number(x)).append("\" y=\"").append(number(y));
    svg.append("\" text-anchor=\"").append(anchor).append("\">");
    svg.append(HtmlEscapers.htmlEscaper().escape(text)).append("</text>");
  }

  private static double y(double value, double top) {
    return 30 + (HEIGHT - 70) * (1 - value / top);
  }

  private static double nonZero(double top) {
    return top > 0 ? top : 1;
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : "%.0f", value);
  }
}
