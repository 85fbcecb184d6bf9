package org.hickoryspar.node.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;

/** Reads and validates a fleet document from a JSON file. */
public final class FleetLoader {

  private static final String INVALID = "invalid-document";

  /**
   * Reads and validates a document.
   *
   * @param file the file
   * @return the document, or a problem that names the file, the JSON path and the expected value
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
   * Returns whether a file holds a fleet document rather than settings, judging by its members.
   *
   * @param file the file
   * @return true if it has neither {@code cluster} nor {@code instanceId}; a failure if it cannot
   *     be read
   */
  public Result<Boolean> isFleetDocument(Path file) {
    requireNonNull(file, "file is null");
    return JsonFile.read(file).map(json -> !json.has("cluster") && !json.has("instanceId"));
  }
}
