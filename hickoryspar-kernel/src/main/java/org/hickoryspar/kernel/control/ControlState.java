package org.hickoryspar.kernel.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.ControlSnapshot;
import org.hickoryspar.protocol.EntryLost;
import org.hickoryspar.protocol.FleetDelta;
import org.hickoryspar.protocol.FleetHistoryEntry;
import org.hickoryspar.protocol.GangPlacement;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.RunTimeTableRecord;
import org.hickoryspar.protocol.TaskPlacement;
import org.hickoryspar.protocol.WorkerInfo;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowRecord;

/**
 * The replicated state of the control daemons: fleet configuration, claims, jobs, workers, catalog
 * and workflows.
 *
 * <p>Commands are applied on one thread in log order; any thread may read. Each part of the state
 * has its own lock. The replicated time is taken from the commands and never decreases.
 *
 * <pre>{@code
 * ControlState state = new ControlState();
 * CommandResult result = state.apply(command);
 * }</pre>
 */
public final class ControlState {

  private final FleetState fleet = new FleetState();
  private final ClaimTable claims = new ClaimTable();
  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final CatalogState catalog = new CatalogState();
  private final WorkflowTable workflows = new WorkflowTable();
  private long workflowBatchNumber;
  private volatile long timeMillis;

  /** Creates the state of a new cluster, with an empty fleet document of version 0. */
  public ControlState() {}

  /**
   * Applies a committed command; must be called on one thread, in log order.
   *
   * @param command the command
   * @return the result of the command; a refusal if its kind is unknown to this version
   */
  public CommandResult apply(Command command) {
    requireNonNull(command, "command is null");
    long nowMillis = Math.max(timeMillis, command.getTimeMillis());
    timeMillis = nowMillis;
    switch (command.getKindCase()) {
      case FLEET_CHANGE -> {
        return fleet.apply(command.getFleetChange(), nowMillis);
      }
      case CLAIMS -> {
        return new CommandResult.Claimed(claims.claim(command.getClaims(), nowMillis));
      }
      case OUTCOMES -> {
        claims.recordOutcomes(command.getOutcomes());
        return new CommandResult.Accepted();
      }
      case SUBMIT_JOB -> {
        return jobs.submit(command.getSubmitJob(), nowMillis);
      }
      case CANCEL_JOB -> {
        return jobs.cancel(command.getCancelJob(), nowMillis);
      }
      case GANG_PLACEMENT -> {
        return place(command.getGangPlacement(), nowMillis);
      }
      case GANG_STEP -> {
        return advance(command.getGangStep(), nowMillis);
      }
      case INVENTORY -> {
        workers.update(command.getInventory());
        return new CommandResult.Accepted();
      }
      case ENTRY_LOST -> {
        claims.handleEntryLost(command.getEntryLost());
        return new CommandResult.Accepted();
      }
      case CATALOG_CHANGE -> {
        return acceptedUnless(catalog.apply(command.getCatalogChange()));
      }
      case DATA_CENTRE_SWITCH -> {
        return acceptedUnless(catalog.apply(command.getDataCentreSwitch()));
      }
      case WORKFLOWS -> {
        return apply(command.getWorkflows(), nowMillis);
      }
      default -> {
        return new CommandResult.Refused(
            Problem.of(
                "unknown-command",
                "unknown kind of command, possibly of a newer version: " + command.getKindCase()));
      }
    }
  }

  private static CommandResult acceptedUnless(Optional<Problem> problem) {
    return problem.isEmpty()
        ? new CommandResult.Accepted()
        : new CommandResult.Refused(problem.get());
  }

  private CommandResult apply(WorkflowBatch batch, long nowMillis) {
    synchronized (workflows) {
      List<Optional<Problem>> problems = workflows.apply(batch, nowMillis);
      workflowBatchNumber++;
      return new CommandResult.WorkflowsApplied(workflowBatchNumber, problems);
    }
  }

  private CommandResult place(GangPlacement placement, long nowMillis) {
    Optional<Problem> problem = checkPlacements(placement.getPlacementsList());
    if (problem.isPresent()) {
      return new CommandResult.Refused(problem.get());
    }
    return jobs.place(placement, nowMillis);
  }

  /** Checks a start again: a data centre may have been taken out since the placement. */
  private CommandResult advance(GangStep step, long nowMillis) {
    if (step.getPhase() == GangStep.Phase.STARTING) {
      List<TaskPlacement> placements =
          jobs.find(step.getJobId()).map(JobRecord::getPlacementsList).orElse(List.of());
      Optional<Problem> problem = checkPlacements(placements);
      if (problem.isPresent()) {
        return new CommandResult.Refused(problem.get());
      }
    }
    return jobs.advance(step, nowMillis);
  }

  private Optional<Problem> checkPlacements(List<TaskPlacement> placements) {
    JsonNode dataCentres = fleet.dataCentres();
    for (TaskPlacement placement : placements) {
      Optional<WorkerInfo> worker = workers.find(placement.getWorker());
      if (worker.isEmpty()) {
        return Optional.of(Problem.of("no-worker", "no worker " + placement.getWorker()));
      }
      String dataCentre = worker.get().getDataCentre();
      if (dataCentres.path(dataCentre).path("out").asBoolean()) {
        return Optional.of(
            Problem.of(
                "data-centre-out", "data centre " + dataCentre + " has been taken out of service"));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the replicated time, the latest timestamp of the applied commands.
   *
   * @return milliseconds since the epoch, 0 before the first command
   */
  public long timeMillis() {
    return timeMillis;
  }

  /**
   * Returns the fleet configuration in force.
   *
   * @return the version and a copy of the document that the caller may modify
   */
  public FleetVersion fleet() {
    return fleet.current();
  }

  /**
   * Returns the version of the fleet configuration.
   *
   * @return the version, 0 before the first change
   */
  public long fleetVersion() {
    return fleet.version();
  }

  /**
   * Returns the version that an accepted change produced.
   *
   * @param changeId identifier of the change
   * @return the version, or empty if the change was not accepted or is no longer recorded
   */
  public Optional<Long> versionOfChange(String changeId) {
    return fleet.versionOfChange(requireNonNull(changeId, "changeId is null"));
  }

  /**
   * Returns the changes made after a version of the fleet configuration.
   *
   * @param version the version
   * @return the changes, oldest first, or empty if the version is unknown or the history no longer
   *     contains all of them
   */
  public Optional<List<FleetDelta>> fleetDeltasAfter(long version) {
    return fleet.deltasAfter(version);
  }

  /**
   * Returns the current document of the fleet configuration.
   *
   * @return the document as JSON in UTF-8
   */
  public ByteString fleetDocumentJson() {
    return fleet.documentJson();
  }

  /**
   * Returns the history of the fleet configuration.
   *
   * @return the retained changes, oldest first
   */
  public List<FleetHistoryEntry> fleetHistory() {
    return fleet.history();
  }

  /**
   * Returns the record of a job.
   *
   * @param jobId identifier of the job
   * @return the record, or empty if the job is unknown or was removed after its retention
   */
  public Optional<JobRecord> job(String jobId) {
    return jobs.find(requireNonNull(jobId, "jobId is null"));
  }

  /**
   * Returns all jobs, including ended ones that are still retained.
   *
   * @return the records, ordered by job identifier
   */
  public List<JobRecord> jobs() {
    return jobs.list();
  }

  /**
   * Returns the workers as last reported by the platform.
   *
   * @return the workers, ordered by identifier
   */
  public List<WorkerInfo> workers() {
    return workers.snapshot();
  }

  /**
   * Returns the number of claims in the state, with and without an outcome.
   *
   * @return the number of claims
   */
  public int claimCount() {
    return claims.size();
  }

  /**
   * Returns the earlier processes of an entry that still hold claims without an outcome.
   *
   * @param entryInstance instance of the entry
   * @param currentIncarnation incarnation of the current process; incarnations increase with each
   *     restart
   * @return one element per earlier process, ordered by incarnation
   */
  public List<EntryLost> earlierHolders(String entryInstance, long currentIncarnation) {
    return claims.earlierHolders(
        requireNonNull(entryInstance, "entryInstance is null"), currentIncarnation);
  }

  /**
   * Returns the catalog and the data centres that are out of service.
   *
   * @return the live state, not a copy; safe for reads from any thread
   */
  public CatalogState catalog() {
    return catalog;
  }

  /**
   * Returns a consistent copy of all workflows.
   *
   * @return the workflows and the number of the last batch applied to them
   */
  public WorkflowSnapshot snapshotWorkflows() {
    synchronized (workflows) {
      return new WorkflowSnapshot(
          workflowBatchNumber, workflows.snapshot(), workflows.runTimes().toRecord());
    }
  }

  /**
   * Serializes the whole state.
   *
   * @return a snapshot for {@link #restore}
   */
  public ByteString snapshot() {
    WorkflowSnapshot workflowSnapshot = snapshotWorkflows();
    return ControlSnapshot.newBuilder()
        .setTimeMillis(timeMillis)
        .setFleetVersion(fleet.version())
        .setFleetDocumentJson(fleet.documentJson())
        .addAllHistory(fleet.history())
        .addAllChanges(fleet.changes())
        .addAllClaims(claims.snapshot())
        .addAllLostEntries(claims.snapshotLostEntries())
        .addAllJobs(jobs.list())
        .addAllWorkers(workers.snapshot())
        .setCatalog(catalog.lastChange())
        .addAllDataCentresOut(catalog.dataCentresOut())
        .addAllDataCentres(catalog.dataCentreRecords())
        .addAllWorkflows(workflowSnapshot.records())
        .setRunTimes(workflowSnapshot.runTimes())
        .build()
        .toByteString();
  }

  /**
   * Replaces the state with a snapshot.
   *
   * @param bytes a snapshot that {@link #snapshot} returned
   * @throws IllegalArgumentException if the bytes are not a snapshot
   */
  public void restore(ByteString bytes) {
    requireNonNull(bytes, "bytes is null");
    ControlSnapshot snapshot;
    try {
      snapshot = ControlSnapshot.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("the bytes are not a control snapshot", e);
    }
    timeMillis = snapshot.getTimeMillis();
    fleet.restore(
        snapshot.getFleetVersion(),
        snapshot.getFleetDocumentJson(),
        snapshot.getHistoryList(),
        snapshot.getChangesList());
    claims.restore(snapshot.getClaimsList(), snapshot.getLostEntriesList());
    jobs.restore(snapshot.getJobsList());
    workers.restore(snapshot.getWorkersList());
    catalog.restore(
        snapshot.getCatalog(), snapshot.getDataCentresList(), snapshot.getDataCentresOutList());
    synchronized (workflows) {
      workflows.restore(snapshot.getWorkflowsList());
      workflows.runTimes().restore(snapshot.getRunTimes());
      workflowBatchNumber++;
    }
  }

  /**
   * A consistent copy of all workflows.
   *
   * @param batchNumber number of the last batch applied; a local counter of this replica
   * @param records one record per workflow
   * @param runTimes what the finished runs tell of run times
   */
  public record WorkflowSnapshot(
      long batchNumber, List<WorkflowRecord> records, RunTimeTableRecord runTimes) {

    /** Copies {@code records}; throws {@link NullPointerException} if an argument is null. */
    public WorkflowSnapshot {
      records = List.copyOf(records);
      requireNonNull(runTimes, "runTimes is null");
    }
  }

  /**
   * A version of the fleet configuration.
   *
   * @param version version of the document, 0 for the empty one of a new cluster
   * @param document the fleet document as JSON
   */
  public record FleetVersion(long version, JsonNode document) {

    /** Throws {@link NullPointerException} if {@code document} is null. */
    public FleetVersion {
      requireNonNull(document, "document is null");
    }
  }
}
