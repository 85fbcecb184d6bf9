package org.hickoryspar.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes a comparison as JSON and as an HTML page with plots. */
final class ReportWriter {

  private final Path directory;
  private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  ReportWriter(Path directory) {
    this.directory = directory;
  }

  /** Writes both files, replacing existing ones, and returns the path of the page. */
  Path write(Comparison comparison) throws IOException {
    Files.createDirectories(directory);
    String name = comparison.deployment() + "-seeds-" + comparison.seeds();
    mapper.writeValue(directory.resolve(name + ".json").toFile(), comparison);
    Path page = directory.resolve(name + ".html");
    Files.writeString(page, new HtmlReport(comparison).render());
    return page;
  }
}
