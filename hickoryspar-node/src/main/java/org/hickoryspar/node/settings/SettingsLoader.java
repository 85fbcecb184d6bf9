package org.hickoryspar.node.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hickoryspar.kernel.value.Result;

/** Reads the settings of an instance from a JSON file. */
public final class SettingsLoader {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /**
   * Reads and checks settings.
   *
   * @param file the file
   * @return the settings, else a problem that names the file, the path in it and what was expected
   */
  public Result<Settings> load(Path file) {
    requireNonNull(file, "file is null");
    byte[] content;
    try {
      content = Files.readAllBytes(file);
    } catch (IOException e) {
      return Result.failure("unreadable", file + ": cannot be read: " + e);
    }
    try {
      return Result.success(MAPPER.readValue(content, Settings.class));
    } catch (JsonProcessingException e) {
      return Result.failure("invalid-settings", file + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure("unreadable", file + ": cannot be read: " + e);
    }
  }
}
