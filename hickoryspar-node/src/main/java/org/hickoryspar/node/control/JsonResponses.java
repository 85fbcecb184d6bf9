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

/** Parses the JSON bodies of operator and job calls and builds the results of the calls. */
final class JsonResponses {

  static final int OK = 200;
  static final int ACCEPTED = 202;
  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int CONFLICT = 409;
  static final int GONE = 410;
  static final int UNPROCESSABLE = 422;
  static final int TOO_MANY_REQUESTS = 429;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private final ObjectMapper mapper;

  JsonResponses(ObjectMapper mapper) {
    this.mapper = mapper;
  }

  ObjectNode newObject() {
    return mapper.createObjectNode();
  }

  Result<JsonNode> parseObject(ByteString body) {
    try {
      JsonNode node = mapper.readTree(body.toByteArray());
      return node != null && node.isObject()
          ? Result.success(node)
          : Result.failure("malformed", "expected a JSON object");
    } catch (IOException e) {
      return Result.failure("malformed", "expected JSON: " + e.getMessage());
    }
  }

  ByteString serialize(Object value) {
    try {
      return ByteString.copyFrom(mapper.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  OperatorResult operatorResult(int httpStatus, Object body) {
    return OperatorResult.newBuilder()
        .setHttpStatus(httpStatus)
        .setBodyJson(serialize(body))
        .build();
  }

  OperatorResult operatorResult(Problem problem) {
    return operatorResult(httpStatus(problem), problem);
  }

  JobResult jobResult(int httpStatus, Object body) {
    return JobResult.newBuilder().setHttpStatus(httpStatus).setBodyJson(serialize(body)).build();
  }

  JobResult jobResult(Problem problem) {
    return jobResult(httpStatus(problem), problem);
  }

  static int httpStatus(Problem problem) {
    return switch (problem.code()) {
      case "malformed" -> BAD_REQUEST;
      case "not-found", "unknown-job" -> NOT_FOUND;
      case "exists", "already-ended", "key-reused", "version-conflict" -> CONFLICT;
      case "key-expired" -> GONE;
      case "too-many-jobs" -> TOO_MANY_REQUESTS;
      case "not-leader", "unavailable" -> SERVICE_UNAVAILABLE;
      case "unknown" -> GATEWAY_TIMEOUT;
      default -> UNPROCESSABLE;
    };
  }
}
