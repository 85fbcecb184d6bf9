package org.hickoryspar.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.base.Ascii;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SchemaRegistryConfig;
import com.networknt.schema.SpecificationVersion;
import com.networknt.schema.path.PathType;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Validates JSON against a schema of this package. Messages quote the keyword {@code description}
 * of the violated subschema, which stands next to the keywords that it describes, so that messages
 * and rules stay consistent.
 */
final class SchemaValidator {

  private static final int MAX_VALUE_LENGTH = 60;

  private final Schema schema;
  private final JsonNode schemaJson;

  /**
   * Loads a schema.
   *
   * @param resource name of a resource in this package
   */
  SchemaValidator(String resource) {
    try (InputStream stream = SchemaValidator.class.getResourceAsStream(resource)) {
      if (stream == null) {
        throw new IllegalStateException("resource " + resource + " is missing");
      }
      schemaJson = JsonMapper.builder().build().readTree(stream);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    SchemaRegistryConfig config =
        SchemaRegistryConfig.builder().pathType(PathType.JSON_PATH).build();
    schema =
        SchemaRegistry.withDefaultDialect(
                SpecificationVersion.DRAFT_2020_12, builder -> builder.schemaRegistryConfig(config))
            .getSchema(schemaJson);
  }

  /**
   * Validates a JSON tree.
   *
   * @param json the tree
   * @return one line per violation with its JSON path and the expected value, empty if there is
   *     none
   */
  List<String> validate(JsonNode json) {
    List<String> problems = new ArrayList<>();
    for (Error error : schema.validate(json)) {
      String problem = describe(error);
      if (!problems.contains(problem)) {
        problems.add(problem);
      }
    }
    return problems;
  }

  private String describe(Error error) {
    String path = error.getInstanceLocation().toString();
    JsonNode subschema = findSubschema(error);
    String property = error.getProperty();
    return switch (String.valueOf(error.getKeyword())) {
      case "additionalProperties" ->
          path + "." + property + ": unknown key, " + describeKeys(subschema);
      case "required" ->
          path
              + "."
              + property
              + ": expected "
              + subschema.path("properties").path(property).path("description").asText("a value")
              + ", found nothing";
      case "propertyNames" -> path + "." + property + ": expected " + describeName(subschema);
      default ->
          path
              + ": expected "
              + subschema.path("description").asText(error.getMessage())
              + ", found "
              + Ascii.truncate(String.valueOf(error.getInstanceNode()), MAX_VALUE_LENGTH, "...");
    };
  }

  private static String describeKeys(JsonNode subschema) {
    List<String> keys = new ArrayList<>();
    subschema.path("properties").fieldNames().forEachRemaining(keys::add);
    return "expected one of " + String.join(", ", keys);
  }

  private static String describeName(JsonNode subschema) {
    return subschema.path("propertyNames").path("description").asText("a name");
  }

  /**
   * Returns the schema object that holds the violated keyword. If it was reached by a reference and
   * has neither a description nor properties, the object that refers to it is returned.
   */
  private JsonNode findSubschema(Error error) {
    JsonNode subschema = schemaJson;
    JsonNode described = schemaJson;
    for (int i = 0; i < error.getEvaluationPath().getNameCount() - 1; i++) {
      Object element = error.getEvaluationPath().getElement(i);
      if ("$ref".equals(element)) {
        String pointer = subschema.path("$ref").asText().substring(1);
        subschema = schemaJson.at(pointer);
        if (subschema.has("description") || subschema.has("properties")) {
          described = subschema;
        }
      } else {
        subschema =
            element instanceof Integer index
                ? subschema.path(index)
                : subschema.path(String.valueOf(element));
        described = subschema;
      }
    }
    return described;
  }
}
