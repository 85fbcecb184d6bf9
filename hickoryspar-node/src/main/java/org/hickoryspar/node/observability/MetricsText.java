package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Renders metrics in the Prometheus text format, for {@code GET /metrics}. */
public final class MetricsText {

  /** Value of the header {@code Content-Type}. */
  public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

  private MetricsText() {}

  /**
   * Renders all metrics of a registry.
   *
   * @param registry the registry
   * @return the text in UTF-8
   */
  public static byte[] render(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create()
          .write(bytes, registry.scrape(), EscapingScheme.UNDERSCORE_ESCAPING);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
