package org.hickoryspar.node.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.hickoryspar.kernel.value.Result;

/** Reads JSON files; rejects duplicate keys, because one of the two values would be lost. */
final class JsonFile {

  /** Rejects duplicate keys and trailing tokens. */
  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private JsonFile() {}

  static Result<JsonNode> read(Path file) {
    byte[] content;
    try {
      content = Files.readAllBytes(file);
    } catch (NoSuchFileException e) {
      return Result.failure("unreadable", file + ": expected a file, found nothing");
    } catch (IOException e) {
      return Result.failure("unreadable", file + ": expected a readable file, found " + e);
    }
    try {
      return Result.success(MAPPER.readTree(content));
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      String position =
          location == null
              ? ""
              : "line " + location.getLineNr() + ", column " + location.getColumnNr() + ": ";
      return Result.failure(
          "invalid-json", file + ": " + position + "expected JSON, " + e.getOriginalMessage());
    } catch (IOException e) {
      return Result.failure("unreadable", file + ": expected a readable file, found " + e);
    }
  }

  /** Returns a failure whose message has each line prefixed with the file. */
  static <T> Result<T> failure(Path file, String code, String lines) {
    return Result.failure(
        code, String.join("\n", lines.lines().map(line -> file + ": " + line).toList()));
  }
}
