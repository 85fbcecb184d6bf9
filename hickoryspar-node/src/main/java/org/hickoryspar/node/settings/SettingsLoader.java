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
 * <p>The file is checked against a schema first, which finds unknown keys and wrong types, and then
 * by {@link SettingsValidator}, which compares values with each other and looks at files.
 */
public final class SettingsLoader {

  private static final String INVALID = "invalid-settings";

  /**
   * Reads and checks settings.
   *
   * @param file the file
   * @return the settings, else a problem that names the file, the path in it and what was expected
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
