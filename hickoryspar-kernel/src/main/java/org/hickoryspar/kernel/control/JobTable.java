package org.hickoryspar.kernel.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.CancelJob;
import org.hickoryspar.protocol.GangPlacement;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.SubmitJob;

/** Stores the jobs with the phase of each gang. */
final class JobTable {

  /** Minimum time for which the record of an ended job is kept. */
  static final long ENDED_RETENTION_MILLIS = 24L * 60 * 60 * 1000;

  /** Maximum number of unfinished jobs per team; bounds the replicated state. */
  static final int MAX_OPEN_JOBS_PER_TEAM = 10_000;

  private final TreeMap<String, JobRecord> jobs = new TreeMap<>();
  private final Map<String, String> jobIdByTeamAndKey = new HashMap<>();
  private final Map<String, Integer> openJobCountByTeam = new HashMap<>();
  private final TreeMap<Long, List<String>> jobIdsByEndMillis = new TreeMap<>();

  synchronized CommandResult submit(SubmitJob submit, long nowMillis) {
    removeExpired(nowMillis);
    String team = submit.getSpec().getTeam();
    String key = team + "/" + submit.getIdempotencyKey();
    String existingJobId = jobIdByTeamAndKey.get(key);
    if (existingJobId != null) {
      JobRecord existing = jobs.get(existingJobId);
      return existing != null && !existing.getSpec().equals(submit.getSpec())
          ? refused("key-reused", "the idempotency key belongs to job " + existingJobId)
          : new CommandResult.JobRecorded(existingJobId);
    }
    long creationMillis = IdempotencyKeyTime.creationMillis(submit.getIdempotencyKey());
    if (creationMillis <= nowMillis - ClaimTable.RETENTION_MILLIS
        || creationMillis > nowMillis + ClaimTable.MAX_CLOCK_SKEW_MILLIS) {
      return refused(
          "key-expired", "the idempotency key has expired or has no valid creation time");
    }
    if (openJobCountByTeam.getOrDefault(team, 0) >= MAX_OPEN_JOBS_PER_TEAM) {
      return refused("too-many-jobs", "team " + team + " has too many unfinished jobs");
    }
    jobIdByTeamAndKey.put(key, submit.getJobId());
    openJobCountByTeam.merge(team, 1, Integer::sum);
    jobs.put(
        submit.getJobId(),
        JobRecord.newBuilder()
            .setJobId(submit.getJobId())
            .setIdempotencyKey(submit.getIdempotencyKey())
            .setSpec(submit.getSpec())
            .setSubmittedMillis(nowMillis)
            .setPhase(GangStep.Phase.QUEUED)
            .setPhaseSinceMillis(nowMillis)
            .build());
    return new CommandResult.JobRecorded(submit.getJobId());
  }

  synchronized CommandResult cancel(CancelJob cancel, long nowMillis) {
    JobRecord job = jobs.get(cancel.getJobId());
    if (job == null || !job.getSpec().getTeam().equals(cancel.getTeam())) {
      return refused("unknown-job", "team " + cancel.getTeam() + " has no such job");
    }
    switch (job.getPhase()) {
      case ENDED -> {
        return job.getResult().equals("cancelled")
            ? new CommandResult.JobRecorded(job.getJobId())
            : refused("already-ended", "the job has ended: " + job.getResult());
      }
      case QUEUED -> put(end(job.toBuilder().setCancelRequested(true), "cancelled", "", nowMillis));
      case UNDOING ->
          put(
              job.toBuilder()
                  .setCancelRequested(true)
                  .setThen(GangStep.Phase.ENDED)
                  .setResult("cancelled")
                  .build());
      default ->
          put(
              undo(job, GangStep.Phase.ENDED, nowMillis)
                  .setCancelRequested(true)
                  .setResult("cancelled")
                  .build());
    }
    return new CommandResult.JobRecorded(job.getJobId());
  }

  synchronized CommandResult place(GangPlacement placement, long nowMillis) {
    JobRecord job = jobs.get(placement.getJobId());
    if (job == null || job.getPhase() != GangStep.Phase.QUEUED) {
      return refused("stale-decision", "the job is no longer queued");
    }
    if (placement.getAttempt() != job.getAttempt() + 1
        || placement.getPlacementsCount() != job.getSpec().getTasks()) {
      return refused("stale-decision", "the attempt or the number of tasks does not match the job");
    }
    put(
        job.toBuilder()
            .setPhase(GangStep.Phase.PREPARING)
            .setPhaseSinceMillis(nowMillis)
            .setAttempt(placement.getAttempt())
            .clearPlacements()
            .addAllPlacements(placement.getPlacementsList())
            .clearFaultyWorkers()
            .setDetail("")
            .build());
    return new CommandResult.Accepted();
  }

  synchronized CommandResult advance(GangStep step, long nowMillis) {
    JobRecord job = jobs.get(step.getJobId());
    if (job == null || job.getAttempt() != step.getAttempt()) {
      return refused("stale-step", "the job is unknown or the step is not of its current attempt");
    }
    if (!isValidTransition(job.getPhase(), step.getPhase())) {
      return refused(
          "stale-step", "invalid step from " + job.getPhase() + " to " + step.getPhase());
    }
    switch (step.getPhase()) {
      case UNDOING ->
          put(
              undo(job, step.getThen(), nowMillis)
                  .setResult(step.getResult())
                  .setDetail(step.getDetail())
                  .clearFaultyWorkers()
                  .addAllFaultyWorkers(step.getFaultyWorkersList())
                  .build());
      case ENDED -> put(end(job.toBuilder(), step.getResult(), step.getDetail(), nowMillis));
      case QUEUED ->
          put(
              job.toBuilder()
                  .setPhase(GangStep.Phase.QUEUED)
                  .setPhaseSinceMillis(nowMillis)
                  .clearPlacements()
                  .setResult("")
                  .build());
      default ->
          put(job.toBuilder().setPhase(step.getPhase()).setPhaseSinceMillis(nowMillis).build());
    }
    return new CommandResult.Accepted();
  }

  private static boolean isValidTransition(GangStep.Phase from, GangStep.Phase to) {
    return switch (to) {
      case STARTING -> from == GangStep.Phase.PREPARING;
      case RUNNING -> from == GangStep.Phase.STARTING;
      case UNDOING ->
          from == GangStep.Phase.PREPARING
              || from == GangStep.Phase.STARTING
              || from == GangStep.Phase.RUNNING;
      case QUEUED -> from == GangStep.Phase.UNDOING;
      case ENDED ->
          from == GangStep.Phase.UNDOING
              || from == GangStep.Phase.RUNNING
              || from == GangStep.Phase.QUEUED;
      default -> false;
    };
  }

  private static JobRecord.Builder undo(JobRecord job, GangStep.Phase then, long nowMillis) {
    return job.toBuilder()
        .setPhase(GangStep.Phase.UNDOING)
        .setPhaseSinceMillis(nowMillis)
        .setThen(then);
  }

  private JobRecord end(JobRecord.Builder job, String result, String detail, long nowMillis) {
    jobIdsByEndMillis.computeIfAbsent(nowMillis, k -> new ArrayList<>(1)).add(job.getJobId());
    openJobCountByTeam.merge(job.getSpec().getTeam(), -1, Integer::sum);
    return job.setPhase(GangStep.Phase.ENDED)
        .setPhaseSinceMillis(nowMillis)
        .clearPlacements()
        .setResult(result)
        .setDetail(detail)
        .build();
  }

  private void put(JobRecord job) {
    jobs.put(job.getJobId(), job);
  }

  /**
   * Removes ended jobs after their retention. Their idempotency keys have expired by then, since a
   * key is created at most {@link ClaimTable#MAX_CLOCK_SKEW_MILLIS} after the submission.
   */
  private void removeExpired(long nowMillis) {
    Map<Long, List<String>> expired =
        jobIdsByEndMillis.headMap(
            nowMillis - ENDED_RETENTION_MILLIS - ClaimTable.MAX_CLOCK_SKEW_MILLIS, true);
    for (List<String> jobIds : expired.values()) {
      for (String jobId : jobIds) {
        JobRecord job = jobs.remove(jobId);
        if (job != null) {
          jobIdByTeamAndKey.remove(job.getSpec().getTeam() + "/" + job.getIdempotencyKey());
        }
      }
    }
    expired.clear();
  }

  synchronized Optional<JobRecord> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  synchronized List<JobRecord> list() {
    return new ArrayList<>(jobs.values());
  }

  synchronized void restore(Collection<JobRecord> snapshot) {
    jobs.clear();
    jobIdByTeamAndKey.clear();
    openJobCountByTeam.clear();
    jobIdsByEndMillis.clear();
    for (JobRecord job : snapshot) {
      jobs.put(job.getJobId(), job);
      jobIdByTeamAndKey.put(
          job.getSpec().getTeam() + "/" + job.getIdempotencyKey(), job.getJobId());
      if (job.getPhase() == GangStep.Phase.ENDED) {
        jobIdsByEndMillis
            .computeIfAbsent(job.getPhaseSinceMillis(), k -> new ArrayList<>(1))
            .add(job.getJobId());
      } else {
        openJobCountByTeam.merge(job.getSpec().getTeam(), 1, Integer::sum);
      }
    }
  }

  private static CommandResult refused(String code, String message) {
    return new CommandResult.Refused(Problem.of(code, message));
  }
}
