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
import org.hickoryspar.protocol.TaskPlacement;
import org.hickoryspar.protocol.WorkerInfo;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowRecord;

/**
 * The durable control state: configuration, claims, jobs and workers.
 *
 * <p>Commands are applied on one thread in log order; reads may come from any thread. Each part is
 * a shard under its own lock. Time is taken from the commands and never goes back.
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
  private long workflowBatches;
  private volatile long timeMillis;

  /** Creates an empty state. */
  public ControlState() {}

  /**
   * Applies a committed command.
   *
   * @param command the command
   * @return its result, the same on every replica
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
        claims.complete(command.getOutcomes());
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
        return step(command.getGangStep(), nowMillis);
      }
      case INVENTORY -> {
        workers.update(command.getInventory());
        return new CommandResult.Accepted();
      }
      case ENTRY_LOST -> {
        claims.entryLost(command.getEntryLost());
        return new CommandResult.Accepted();
      }
      case CATALOG_CHANGE -> {
        Optional<Problem> problem = catalog.apply(command.getCatalogChange());
        return problem.isEmpty()
            ? new CommandResult.Accepted()
            : new CommandResult.Refused(problem.get());
      }
      case DATA_CENTRE_SWITCH -> {
        catalog.apply(command.getDataCentreSwitch());
        return new CommandResult.Accepted();
      }
      case WORKFLOWS -> {
        return apply(command.getWorkflows(), nowMillis);
      }
      default -> {
        return new CommandResult.Refused(
            Problem.of("unknown-command", "command of a newer version: " + command.getKindCase()));
      }
    }
  }

  private CommandResult apply(WorkflowBatch batch, long nowMillis) {
    synchronized (workflows) {
      List<Optional<Problem>> problems = workflows.apply(batch, nowMillis);
      workflowBatches++;
      return new CommandResult.WorkflowsApplied(workflowBatches, problems);
    }
  }

  private CommandResult place(GangPlacement placement, long nowMillis) {
    Optional<Problem> problem = refusalOf(placement.getPlacementsList());
    if (problem.isPresent()) {
      return new CommandResult.Refused(problem.get());
    }
    return jobs.place(placement, nowMillis);
  }

  /** A start is checked again because the data centre may have been taken out while preparing. */
  private CommandResult step(GangStep step, long nowMillis) {
    if (step.getPhase() == GangStep.Phase.STARTING) {
      List<TaskPlacement> placements =
          jobs.find(step.getJobId()).map(JobRecord::getPlacementsList).orElse(List.of());
      Optional<Problem> problem = refusalOf(placements);
      if (problem.isPresent()) {
        return new CommandResult.Refused(problem.get());
      }
    }
    return jobs.step(step, nowMillis);
  }

  private Optional<Problem> refusalOf(List<TaskPlacement> placements) {
    JsonNode dataCentres = fleet.dataCentres();
    for (TaskPlacement placement : placements) {
      Optional<WorkerInfo> worker = workers.find(placement.getWorker());
      if (worker.isEmpty()) {
        return Optional.of(Problem.of("no-worker", "no worker " + placement.getWorker()));
      }
      String dataCentre = worker.get().getDataCentre();
      if (dataCentres.path(dataCentre).path("out").asBoolean()) {
        return Optional.of(
            Problem.of("data-centre-out", "data centre " + dataCentre + " has been taken out"));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the replicated time.
   *
   * @return milliseconds since the epoch, as the leader stamped the last command
   */
  public long timeMillis() {
    return timeMillis;
  }

  /**
   * Returns the fleet configuration in force.
   *
   * @return its version and a copy of the document
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
   * Finds the version that an accepted change produced.
   *
   * @param changeId the change
   * @return the version, or empty when the change is unknown
   */
  public Optional<Long> versionOfChange(String changeId) {
    return fleet.versionOf(requireNonNull(changeId, "changeId is null"));
  }

  /**
   * Returns the changes that lead from a version to the current one.
   *
   * @param version the version
   * @return the changes in order, or empty when the history does not reach back to the version
   */
  public Optional<List<FleetDelta>> fleetDeltasAfter(long version) {
    return fleet.deltasAfter(version);
  }

  /**
   * Returns the document of the fleet configuration.
   *
   * @return the document as JSON in UTF-8
   */
  public ByteString fleetDocumentJson() {
    return fleet.documentJson();
  }

  /**
   * Returns the history of the fleet configuration.
   *
   * @return the last changes, oldest first
   */
  public List<FleetHistoryEntry> fleetHistory() {
    return fleet.history();
  }

  /**
   * Finds a job.
   *
   * @param jobId the job
   * @return its record, or empty
   */
  public Optional<JobRecord> job(String jobId) {
    return jobs.find(requireNonNull(jobId, "jobId is null"));
  }

  /**
   * Lists all jobs, ended ones included while they are kept.
   *
   * @return the records in order of identifiers
   */
  public List<JobRecord> jobs() {
    return jobs.list();
  }

  /**
   * Lists the workers.
   *
   * @return the workers in order of identifiers
   */
  public List<WorkerInfo> workers() {
    return workers.snapshot();
  }

  /**
   * Returns the number of claims that are kept.
   *
   * @return the number of records
   */
  public int claimCount() {
    return claims.size();
  }

  /**
   * Lists earlier processes of an entry that still hold claims without an outcome.
   *
   * @param entryInstance the instance of the entry
   * @param currentIncarnation the process that runs there now; later processes have larger numbers
   * @return one element per earlier process
   */
  public List<EntryLost> earlierHolders(String entryInstance, long currentIncarnation) {
    return claims.earlierHolders(
        requireNonNull(entryInstance, "entryInstance is null"), currentIncarnation);
  }

  /**
   * Returns the catalog and the data centres that are out of service.
   *
   * @return the live state, which may be read from any thread
   */
  public CatalogState catalog() {
    return catalog;
  }

  /**
   * Copies all workflows.
   *
   * @return the workflows, and the number of the last batch that they include
   */
  public WorkflowCopy copyWorkflows() {
    synchronized (workflows) {
      return new WorkflowCopy(workflowBatches, workflows.snapshot());
    }
  }

  /**
   * Writes the whole state.
   *
   * @return the state as bytes
   */
  public ByteString snapshot() {
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
        .addAllWorkflows(copyWorkflows().records())
        .build()
        .toByteString();
  }

  /**
   * Replaces the state by a snapshot.
   *
   * @param bytes what {@link #snapshot} wrote
   * @throws IllegalArgumentException if the bytes are not a snapshot
   */
  public void restore(ByteString bytes) {
    requireNonNull(bytes, "bytes is null");
    ControlSnapshot snapshot;
    try {
      snapshot = ControlSnapshot.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException("not a control snapshot", e);
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
    catalog.restore(snapshot.getCatalog(), snapshot.getDataCentresOutList());
    synchronized (workflows) {
      workflows.restore(snapshot.getWorkflowsList());
      workflowBatches++;
    }
  }

  /**
   * All workflows at one time.
   *
   * @param batch number of the last batch that is included, counted by this replica
   * @param records one record per workflow
   */
  public record WorkflowCopy(long batch, List<WorkflowRecord> records) {

    /** Copies the list. */
    public WorkflowCopy {
      records = List.copyOf(records);
    }
  }

  /**
   * A version of the fleet configuration.
   *
   * @param version the version
   * @param document the document
   */
  public record FleetVersion(long version, JsonNode document) {

    /** Checks the document. */
    public FleetVersion {
      requireNonNull(document, "document is null");
    }
  }
}
