package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowState;

/**
 * Decides for one term of leadership what is started, stopped and acknowledged on the minions. It
 * reads no clock and does no I/O: events go in, orders and proposals come out. Used by one thread.
 *
 * <p>Starts and ends are proposed to the replicated log first. An order to start is sent only once
 * its proposal is applied, and an end is acknowledged only once it is recorded.
 *
 * <pre>{@code
 * dispatcher.handleReport(report, nowMillis);
 * dispatcher.advance(nowMillis, wallMillis);
 * propose(dispatcher.takeProposals());
 * dispatcher.takeOrders().forEach(this::send);
 * }</pre>
 */
public final class Dispatcher {

  private static final long SWEEP_INTERVAL_MILLIS = 1_000;
  private static final long MAX_PAUSE_MILLIS = 100;

  /** Events that arrive within this time share a round of placement. */
  private static final long PLAN_INTERVAL_MILLIS = 10;

  private final WorkflowTable table;
  private final RunTable runs = new RunTable();
  private final Outbox outbox = new Outbox();
  private final RunEndRecorder endRecorder;
  private final MinionTable minions;
  private final StopRetransmitter stopRetransmitter;
  private final LeaseManager leaseManager;
  private final TaskOrders taskOrders;
  private final WaitingSteps waitingSteps;
  private final AppliedEventHandler appliedEvents;
  private final TeamDemand teamDemand;
  private final Planner planner;
  private final Retention retention;
  private boolean planDue = true;
  private long nextPlanMillis;
  private long nextSweepMillis;

  /**
   * Creates the dispatcher of a leader that has just been elected.
   *
   * @param settings times and limits
   * @param catalog the live catalog
   * @param table the workflows as of the election; changed by this object only
   * @param listener told about decisions
   * @param nowMillis monotonic time
   * @param wallMillis time of day in milliseconds since the epoch
   */
  public Dispatcher(
      DispatchSettings settings,
      CatalogState catalog,
      WorkflowTable table,
      DispatchListener listener,
      long nowMillis,
      long wallMillis) {
    requireNonNull(settings, "settings is null");
    requireNonNull(catalog, "catalog is null");
    this.table = requireNonNull(table, "table is null");
    requireNonNull(listener, "listener is null");
    MinionFailureTracker failureTracker = new MinionFailureTracker(listener);
    RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
    this.endRecorder = new RunEndRecorder(runs, outbox, failureTracker, runTimeEstimates, listener);
    this.minions = new MinionTable(listener, this::handleNewLife);
    this.stopRetransmitter = new StopRetransmitter(settings.responseTimeoutMillis(), outbox);
    this.leaseManager =
        new LeaseManager(settings, minions, runs, outbox, endRecorder, stopRetransmitter, listener);
    this.taskOrders = new TaskOrders(settings, runs, outbox, endRecorder, listener);
    this.waitingSteps = new WaitingSteps(catalog, runs, settings.earlyStartMillis());
    this.teamDemand = new TeamDemand(catalog);
    this.planner =
        new Planner(
            settings,
            catalog,
            minions,
            runs,
            failureTracker,
            runTimeEstimates,
            teamDemand,
            new WaitReporter(listener),
            new RunStarter(runs, waitingSteps, outbox, listener));
    this.retention = new Retention(table, outbox, settings.retentionMillis());
    RunRecovery recovery = new RunRecovery(minions, runs);
    this.appliedEvents =
        new AppliedEventHandler(
            table, runs, recovery, waitingSteps, failureTracker, teamDemand, listener);
    for (Workflow workflow : table.all()) {
      recovery.recover(workflow, nowMillis);
      waitingSteps.refresh(workflow, wallMillis);
      teamDemand.update(workflow);
    }
  }

  // -- what minions say

  /**
   * Takes in what a minion reports of itself.
   *
   * @param report the report
   * @param nowMillis monotonic time
   */
  public void handleReport(MinionReport report, long nowMillis) {
    requireNonNull(report, "report is null");
    minions.handleReport(report, nowMillis);
    planDue = true;
  }

  /**
   * Takes note that a minion said it ends now.
   *
   * @param minionId the minion
   * @param nowMillis monotonic time
   */
  public void handleLeave(String minionId, long nowMillis) {
    requireNonNull(minionId, "minionId is null");
    minions.all().stream()
        .filter(minion -> minion.id().equals(minionId))
        .forEach(minion -> minion.markLeaving(nowMillis));
  }

  /**
   * Takes in the answer to a renewal.
   *
   * @param life the life that the renewal was meant for
   * @param response the response
   * @param nowMillis monotonic time
   */
  public void handleRenewal(MinionLife life, RenewalResponse response, long nowMillis) {
    requireNonNull(response, "answer is null");
    Minion minion = minions.find(requireNonNull(life, "life is null"));
    if (minion != null) {
      leaseManager.handleResponse(minion, response, nowMillis);
      planDue = true;
    }
  }

  /**
   * Takes note that a renewal failed.
   *
   * @param life the life that the renewal was meant for
   * @param outcome why it failed
   * @param nowMillis monotonic time
   */
  public void handleRenewalFailure(MinionLife life, OrderOutcome outcome, long nowMillis) {
    Minion minion = minions.find(requireNonNull(life, "life is null"));
    if (minion != null) {
      leaseManager.handleFailure(minion, outcome, nowMillis);
    }
  }

  /**
   * Takes in the answer to a start.
   *
   * @param taskRun what was started
   * @param outcome the answer
   * @param nowMillis monotonic time
   */
  public void handleStartOutcome(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    Member member = runs.find(requireNonNull(taskRun, "taskRun is null"));
    if (member != null && !member.isEnded()) {
      taskOrders.handleStartOutcome(member, outcome, nowMillis);
    }
  }

  /**
   * Takes in the answer to a stop.
   *
   * @param taskRun what was stopped
   * @param outcome the answer
   * @param nowMillis monotonic time
   */
  public void handleStopOutcome(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    Member member = runs.find(requireNonNull(taskRun, "taskRun is null"));
    if (member != null && !member.isEnded()) {
      taskOrders.handleStopOutcome(member, outcome, nowMillis);
    }
    stopRetransmitter.handleOutcome(taskRun, outcome, nowMillis);
  }

  private void handleNewLife(Minion previous, Minion newLife, long nowMillis) {
    leaseManager.handleNewLife(previous, newLife, nowMillis);
  }

  // -- what is recorded

  /**
   * Takes in events that the replicated log has applied.
   *
   * @param batch the events
   * @param problems for each event why it was refused, or empty
   * @param timeMillis replicated time of the batch
   * @param nowMillis monotonic time
   * @param wallMillis time of day in milliseconds since the epoch
   */
  public void handleApplied(
      WorkflowBatch batch,
      List<Optional<Problem>> problems,
      long timeMillis,
      long nowMillis,
      long wallMillis) {
    table.apply(requireNonNull(batch, "batch is null"), timeMillis);
    for (int i = 0; i < batch.getEventsCount(); i++) {
      appliedEvents.handle(batch.getEvents(i), problems.get(i), nowMillis, wallMillis);
    }
    if (batch.getDispatchNumber() > 0) {
      leaseManager.handleRecorded(batch.getDispatchNumber());
    }
    planDue = true;
  }

  // -- decisions

  /**
   * Makes the decisions that are possible now.
   *
   * @param nowMillis monotonic time
   * @param wallMillis time of day in milliseconds since the epoch
   */
  public void advance(long nowMillis, long wallMillis) {
    leaseManager.advance(nowMillis);
    if (wallMillis >= waitingSteps.nextStartMillis()) {
      waitingSteps.advance(wallMillis);
      planDue = true;
    }
    if (planDue && nowMillis >= nextPlanMillis) {
      planDue = false;
      nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS;
      planner.plan(waitingSteps.steps(), nowMillis, wallMillis);
    }
    taskOrders.advance(nowMillis);
    stopRetransmitter.advance(nowMillis);
    if (nowMillis >= nextSweepMillis) {
      nextSweepMillis = nowMillis + SWEEP_INTERVAL_MILLIS;
      sweep(nowMillis, wallMillis);
    }
  }

  private void sweep(long nowMillis, long wallMillis) {
    minions.sweep(nowMillis);
    leaseManager.sweep(nowMillis);
    planner.sweep(nowMillis);
    retention.sweep(wallMillis);
  }

  /**
   * Returns how long the owner may wait before it calls {@link #advance} again without an event.
   *
   * @param nowMillis monotonic time
   * @return a time in milliseconds
   */
  public long maxPauseMillis(long nowMillis) {
    long nextMillis = planDue ? nextPlanMillis : nowMillis + MAX_PAUSE_MILLIS;
    for (Minion minion : minions.all()) {
      nextMillis = Math.min(nextMillis, minion.lease().nextDueMillis());
    }
    return Math.max(1, nextMillis - nowMillis);
  }

  /**
   * Hands over the orders to send.
   *
   * @return the orders since the last call
   */
  public List<Order> takeOrders() {
    return outbox.takeOrders();
  }

  /**
   * Hands over the events to propose to the replicated log.
   *
   * @return the events since the last call; without events when there are none
   */
  public WorkflowBatch takeProposals() {
    return outbox.takeProposals();
  }

  // -- questions

  /**
   * Counts what the dispatcher believes of the fleet.
   *
   * @param nowMillis monotonic time
   * @return the numbers
   */
  public DispatcherStatus status(long nowMillis) {
    return DispatcherStatus.of(minions.all(), waitingSteps.steps(), runs.runs().size(), nowMillis);
  }

  /**
   * Finds a workflow.
   *
   * @param workflowId its identifier
   * @return the workflow, or empty
   */
  public Optional<Workflow> find(String workflowId) {
    return table.find(workflowId);
  }

  /**
   * Counts the workflows of a queue of which nothing was started yet.
   *
   * @param queue the queue
   * @return the number of workflows
   */
  public long countPending(Queue queue) {
    requireNonNull(queue, "queue is null");
    return table.all().stream()
        .filter(workflow -> workflow.queue().getHost().equals(queue.getHost()))
        .filter(workflow -> workflow.queue().getPathPrefix().equals(queue.getPathPrefix()))
        .filter(workflow -> workflow.state() == WorkflowState.WORKFLOW_QUEUED)
        .count();
  }
}
