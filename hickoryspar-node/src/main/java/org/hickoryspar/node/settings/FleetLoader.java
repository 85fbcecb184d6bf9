package org.hickoryspar.node.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;

/** Reads a fleet document from a JSON file and checks it. */
public final class FleetLoader {

  private static final String INVALID = "invalid-document";

  /**
   * Reads and checks a document.
   *
   * @param file the file
   * @return the document, else a problem that names the file, the path in it and what was expected
   */
  public Result<FleetDocument> load(Path file) {
    requireNonNull(file, "file is null");
    return JsonFile.read(file).flatMap(json -> check(file, json));
  }

  private static Result<FleetDocument> check(Path file, JsonNode json) {
    List<String> problems = new SchemaValidator("fleet.schema.json").validate(json);
    if (!problems.isEmpty()) {
      return JsonFile.failure(file, INVALID, String.join("\n", problems));
    }
    return FleetDocument.from(json)
        .fold(problem -> failure(file, problem), document -> Result.success(document));
  }

  private static Result<FleetDocument> failure(Path file, Problem problem) {
    return JsonFile.failure(file, problem.code(), problem.message());
  }

  /**
   * Returns whether a file looks like a fleet document rather than like settings.
   *
   * @param file the file
   * @return true if it has no member {@code cluster} or {@code instanceId}; a failure when it
   *     cannot be read
   */
  public Result<Boolean> isFleetDocument(Path file) {
    requireNonNull(file, "file is null");
    return JsonFile.read(file).map(json -> !json.has("cluster") && !json.has("instanceId"));
  }
}
