package org.hickoryspar.node.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import org.hickoryspar.kernel.value.Result;

/**
 * Reads the settings of an instance from a JSON file.
 *
 * <p>The file is validated against a schema first, which rejects unknown keys and wrong types, and
 * then by {@link SettingsValidator}, which compares values with each other and accesses files.
 */
public final class SettingsLoader {

  private static final String INVALID = "invalid-settings";

  /**
   * Reads and validates settings.
   *
   * @param file the file
   * @return the settings, or a problem that names the file, the JSON path and the expected value
   */
  public Result<Settings> load(Path file) {
    requireNonNull(file, "file is null");
    return JsonFile.read(file).flatMap(json -> check(file, json));
  }

  private static Result<Settings> check(Path file, JsonNode json) {
    List<String> problems = new SchemaValidator("settings.schema.json").validate(json);
    if (!problems.isEmpty()) {
      return JsonFile.failure(file, INVALID, String.join("\n", problems));
    }
    Settings settings;
    try {
      settings = JsonFile.MAPPER.treeToValue(json, Settings.class);
    } catch (JsonProcessingException e) {
      return JsonFile.failure(file, INVALID, "$: " + e.getOriginalMessage());
    }
    List<String> violations = SettingsValidator.validate(settings);
    return violations.isEmpty()
        ? Result.success(settings)
        : JsonFile.failure(file, INVALID, String.join("\n", violations));
  }
}
