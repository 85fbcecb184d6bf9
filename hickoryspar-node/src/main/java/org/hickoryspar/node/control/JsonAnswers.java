package org.hickoryspar.node.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.JobResult;
import org.hickoryspar.protocol.OperatorResult;

/** Reads and writes the JSON bodies of operator and job calls. */
final class JsonAnswers {

  static final int OK = 200;
  static final int ACCEPTED = 202;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int GONE = 410;
  static final int UNPROCESSABLE = 422;
  static final int TOO_MANY = 429;
  static final int UNAVAILABLE = 503;
  static final int UNKNOWN = 504;

  private final ObjectMapper json;

  JsonAnswers(ObjectMapper json) {
    this.json = json;
  }

  ObjectNode object() {
    return json.createObjectNode();
  }

  Result<JsonNode> read(ByteString body) {
    try {
      JsonNode node = json.readTree(body.toByteArray());
      return node != null && node.isObject()
          ? Result.success(node)
          : Result.failure("malformed", "expected a JSON object");
    } catch (IOException e) {
      return Result.failure("malformed", "expected JSON: " + e.getMessage());
    }
  }

  ByteString write(Object value) {
    try {
      return ByteString.copyFrom(json.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  OperatorResult operator(int status, Object body) {
    return OperatorResult.newBuilder().setHttpStatus(status).setBodyJson(write(body)).build();
  }

  OperatorResult operator(Problem problem) {
    return operator(status(problem), problem);
  }

  JobResult job(int status, Object body) {
    return JobResult.newBuilder().setHttpStatus(status).setBodyJson(write(body)).build();
  }

  JobResult job(Problem problem) {
    return job(status(problem), problem);
  }

  static int status(Problem problem) {
    return switch (problem.code()) {
      case "malformed" -> BAD_REQUEST;
      case "not-found", "unknown-job" -> NOT_FOUND;
      case "exists", "already-ended", "key-reused", "version-conflict" -> CONFLICT;
      case "key-expired" -> GONE;
      case "too-many-jobs" -> TOO_MANY;
      case "not-leader", "unavailable" -> UNAVAILABLE;
      case "unknown" -> UNKNOWN;
      default -> UNPROCESSABLE;
    };
  }
}
