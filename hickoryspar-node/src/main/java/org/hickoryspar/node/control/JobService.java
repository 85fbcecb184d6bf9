package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.protocol.CancelJob;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.JobResult;
import org.hickoryspar.protocol.SubmitJob;
import org.hickoryspar.protocol.TaskPlacement;

/** Serves the job calls of teams on the leader. */
final class JobService {

  private final ControlState state;
  private final Proposer proposer;
  private final SchedulingLoop scheduling;
  private final JsonResponses responses;
  private final Supplier<String> jobIdSupplier;

  JobService(
      ControlState state,
      Proposer proposer,
      SchedulingLoop scheduling,
      JsonResponses responses,
      Supplier<String> jobIdSupplier) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.scheduling = requireNonNull(scheduling, "scheduling is null");
    this.responses = requireNonNull(responses, "responses is null");
    this.jobIdSupplier = requireNonNull(jobIdSupplier, "jobIdSupplier is null");
  }

  CompletableFuture<JobResult> handle(JobCall call) {
    return switch (call.getKind()) {
      case SUBMIT -> submit(call);
      case STATUS -> status(call);
      case CANCEL -> cancel(call);
      case LIST -> CompletableFuture.completedFuture(list(call));
      default ->
          CompletableFuture.completedFuture(
              responses.jobResult(Problem.of("malformed", "unknown kind of job call")));
    };
  }

  private CompletableFuture<JobResult> submit(JobCall call) {
    return responses
        .parseObject(call.getBodyJson())
        .flatMap(body -> JobSpecParser.parse(body, call.getTeam()))
        .fold(
            problem -> CompletableFuture.completedFuture(responses.jobResult(problem)),
            spec ->
                propose(
                    Command.newBuilder()
                        .setSubmitJob(
                            SubmitJob.newBuilder()
                                .setJobId(jobIdSupplier.get())
                                .setIdempotencyKey(call.getIdempotencyKey())
                                .setSpec(spec))));
  }

  private CompletableFuture<JobResult> cancel(JobCall call) {
    return propose(
        Command.newBuilder()
            .setCancelJob(
                CancelJob.newBuilder().setJobId(call.getJobId()).setTeam(call.getTeam())));
  }

  private CompletableFuture<JobResult> propose(Command.Builder command) {
    return proposer
        .propose(command)
        .thenCompose(
            result ->
                result.fold(
                    problem -> CompletableFuture.completedFuture(responses.jobResult(problem)),
                    this::handleResult));
  }

  private CompletableFuture<JobResult> handleResult(CommandResult result) {
    if (result instanceof CommandResult.JobRecorded job) {
      return scheduling.awaitRejection(job.jobId()).thenCompose(ignored -> describe(job.jobId()));
    }
    Problem problem =
        result instanceof CommandResult.Refused refused
            ? refused.problem()
            : Problem.of("unknown", "unexpected result " + result);
    return CompletableFuture.completedFuture(responses.jobResult(problem));
  }

  private CompletableFuture<JobResult> describe(String jobId) {
    Optional<JobRecord> job = state.job(jobId);
    if (job.isEmpty()) {
      return CompletableFuture.completedFuture(
          responses.jobResult(Problem.of("unknown-job", "no job " + jobId)));
    }
    return explain(job.get()).thenApply(explanation -> describe(job.get(), explanation));
  }

  private JobResult describe(JobRecord job, String explanation) {
    boolean rejected = job.getResult().equals("rejected");
    ObjectNode body = toJson(job).put("explanation", explanation);
    if (rejected) {
      body.put("code", "rejected").put("message", job.getDetail());
    }
    return responses.jobResult(rejected ? JsonResponses.UNPROCESSABLE : JsonResponses.OK, body);
  }

  private CompletableFuture<String> explain(JobRecord job) {
    if (job.getPhase() != GangStep.Phase.QUEUED) {
      String detail = job.getDetail().isEmpty() ? "" : ": " + job.getDetail();
      String phase = job.getPhase().name().toLowerCase(Locale.ROOT);
      return CompletableFuture.completedFuture(
          job.getPhase() == GangStep.Phase.ENDED
              ? "The job has ended (" + job.getResult() + ")" + detail + "."
              : "The job does not wait; its gang is " + phase + detail + ".");
    }
    return scheduling
        .explain(job.getJobId())
        .thenApply(result -> result.fold(Problem::message, text -> text));
  }

  private CompletableFuture<JobResult> status(JobCall call) {
    boolean ownedByTeam =
        state
            .job(call.getJobId())
            .map(job -> job.getSpec().getTeam().equals(call.getTeam()))
            .orElse(false);
    // A job of another team is reported as unknown, so that its existence is not revealed.
    return ownedByTeam
        ? describe(call.getJobId())
        : CompletableFuture.completedFuture(
            responses.jobResult(Problem.of("unknown-job", "no job " + call.getJobId())));
  }

  private JobResult list(JobCall call) {
    ObjectNode body = responses.newObject();
    ArrayNode rows = body.putArray("jobs");
    for (JobRecord job : state.jobs()) {
      if (job.getSpec().getTeam().equals(call.getTeam())) {
        rows.add(toJson(job));
      }
    }
    return responses.jobResult(JsonResponses.OK, body);
  }

  private ObjectNode toJson(JobRecord job) {
    ObjectNode row =
        responses
            .newObject()
            .put("id", job.getJobId())
            .put("name", job.getSpec().getName())
            .put("team", job.getSpec().getTeam())
            .put("kind", job.getSpec().getKind())
            .put("phase", job.getPhase().name().toLowerCase(Locale.ROOT))
            .put("tasks", job.getSpec().getTasks())
            .put("attempt", job.getAttempt())
            .put("result", job.getResult())
            .put("detail", job.getDetail())
            .put("submittedMillis", job.getSubmittedMillis())
            .put("phaseSinceMillis", job.getPhaseSinceMillis())
            .put("cancelRequested", job.getCancelRequested());
    List<String> workers = job.getPlacementsList().stream().map(TaskPlacement::getWorker).toList();
    ArrayNode workerArray = row.putArray("workers");
    workers.forEach(workerArray::add);
    return row;
  }

  /** Parses and validates the JSON of job specifications. */
  static final class JobSpecParser {

    private static final int MAX_TASKS = 64;

    private JobSpecParser() {}

    static Result<org.hickoryspar.protocol.JobSpec> parse(JsonNode body, String team) {
      JsonNode perTask = body.path("perTask");
      String adjacency = body.path("adjacency").asText("none");
      String urgency = body.path("urgency").asText("batch");
      if (!body.path("tasks").canConvertToInt()
          || body.path("tasks").asInt() < 1
          || body.path("tasks").asInt() > MAX_TASKS) {
        return malformed("tasks", "a whole number from 1 to " + MAX_TASKS);
      }
      for (String field : List.of("cores", "memoryMegabytes", "accelerators")) {
        if (!perTask.path(field).canConvertToInt() || perTask.path(field).asInt() < 0) {
          return malformed("perTask." + field, "a whole number of at least 0");
        }
      }
      if (perTask.path("cores").asInt() + perTask.path("accelerators").asInt() == 0) {
        return malformed("perTask", "at least one core or accelerator");
      }
      if (!List.of("none", "worker", "rack").contains(adjacency)) {
        return malformed("adjacency", "none, worker or rack");
      }
      if (!List.of("batch", "urgent").contains(urgency)) {
        return malformed("urgency", "batch or urgent");
      }
      if (!body.path("declaredRunSeconds").isNumber()
          || body.path("declaredRunSeconds").asDouble() <= 0) {
        return malformed("declaredRunSeconds", "a number above 0");
      }
      return Result.success(
          org.hickoryspar.protocol.JobSpec.newBuilder()
              .setName(body.path("name").asText(""))
              .setTeam(team)
              .setKind(body.path("kind").asText("default"))
              .setTasks(body.path("tasks").asInt())
              .setPerTask(
                  org.hickoryspar.protocol.Shape.newBuilder()
                      .setCores(perTask.path("cores").asInt())
                      .setMemoryMegabytes(perTask.path("memoryMegabytes").asInt())
                      .setAccelerators(perTask.path("accelerators").asInt()))
              .setAdjacency(adjacency)
              .setUrgent(urgency.equals("urgent"))
              .setDeclaredRunMillis((long) (body.path("declaredRunSeconds").asDouble() * 1000))
              .setPreemptible(body.path("preemptible").asBoolean(true))
              .build());
    }

    private static Result<org.hickoryspar.protocol.JobSpec> malformed(
        String path, String expected) {
      return Result.failure("malformed", path + ": expected " + expected);
    }
  }
}
