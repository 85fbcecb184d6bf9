package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.quota.QuotaPolicy;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowState;

/**
 * Decides for one term of leadership which tasks are started and stopped on the minions and which
 * ends are acknowledged. Reads no clock and performs no I/O: the owner passes events in, sends the
 * orders and proposes the log events that come out. Not thread-safe.
 *
 * <p>Starts and ends are proposed to the replicated log first. A start order is sent only after the
 * log has applied its proposal, and an end is acknowledged only after the log has recorded it.
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

  /** Events that arrive within this interval share one planning round. */
  private static final long PLAN_INTERVAL_MILLIS = 10;

  /** Groups that wait are planned this often without an event: isolations and waits expire. */
  private static final long MAX_PLAN_PAUSE_MILLIS = 200;

  /** More batches than a dispatcher proposes in a millisecond. */
  private static final long BATCH_NUMBERS_PER_MILLI = 1L << 20;

  /** Keeps batch numbers positive; a monotonic clock may start below 0. */
  private static final long MAX_BATCH_MILLIS = (1L << 42) - 1;

  private final WorkflowTable table;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder endRecorder;
  private final MinionTable minions;
  private final StopRetransmitter stopRetransmitter;
  private final LeaseManager leaseManager;
  private final TaskOrderSender taskOrderSender;
  private final WaitingSteps waitingSteps;
  private final CatalogChanges catalogChanges;
  private final AppliedEventHandler appliedEventHandler;
  private final TeamDemand teamDemand;
  private final Backlogs backlogs;
  private final Planner planner;
  private final QuotaQueries quotaQueries;
  private final SlowRunMover slowRunMover;
  private final Retention retention;
  private final RunTimeEstimates runTimeEstimates;
  private boolean planDue = true;
  private long nextPlanMillis;
  private long lastPlanMillis;
  private long nextSweepMillis;

  /**
   * Creates the dispatcher of a newly elected leader and recovers the runs that are recorded in the
   * workflow table.
   *
   * @param settings times and limits
   * @param catalog the catalog, which may change during the term
   * @param table the workflows at the start of the term; owned by the dispatcher from then on
   * @param listener receives the decisions
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since the epoch
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
    TeamQuotas quotas =
        new TeamQuotas(
            new QuotaPolicy(settings.quotaTolerance()), team -> catalog.view().teamQuota(team));
    this.runs = new RunTable(quotas);
    this.outbox = new Outbox(firstBatchNumber(nowMillis));
    MinionFailureTracker failureTracker = new MinionFailureTracker(listener);
    this.runTimeEstimates =
        new RunTimeEstimates(settings.runTimeSource().newPredictor(table.runTimes()));
    MinionSpeedTracker speedTracker = new MinionSpeedTracker(runTimeEstimates, listener);
    this.endRecorder =
        new RunEndRecorder(runs, outbox, failureTracker, speedTracker, runTimeEstimates, listener);
    this.minions = new MinionTable(catalog, listener, this::handleNewLife);
    this.slowRunMover =
        new SlowRunMover(catalog, minions, runs, runTimeEstimates, speedTracker, listener);
    this.stopRetransmitter = new StopRetransmitter(settings.responseTimeoutMillis(), outbox);
    this.leaseManager =
        new LeaseManager(
            settings,
            minions,
            runs,
            outbox,
            endRecorder,
            stopRetransmitter,
            new UnrecordedTasks(table, quotas.usage(), settings.strayExpiryMillis()),
            listener);
    this.taskOrderSender =
        new TaskOrderSender(settings, runs, outbox, endRecorder, quotas, listener);
    this.waitingSteps = new WaitingSteps(catalog, runs, settings.earlyStartMillis());
    this.catalogChanges = new CatalogChanges(catalog, waitingSteps);
    this.teamDemand = new TeamDemand(catalog);
    this.backlogs = new Backlogs(settings, catalog, minions, runs, runTimeEstimates, listener);
    this.planner =
        new Planner(
            settings,
            catalog,
            minions,
            runs,
            failureTracker,
            runTimeEstimates,
            new Ranking(new UrgencyCalculator(settings, runTimeEstimates, teamDemand), backlogs),
            new WaitReporter(listener, backlogs::describeOrder),
            new RunStarter(runs, waitingSteps, outbox, listener));
    this.quotaQueries = new QuotaQueries(catalog, quotas, minions);
    this.retention = new Retention(table, outbox, settings.retentionMillis());
    RunRecovery recovery = new RunRecovery(minions, runs);
    this.appliedEventHandler =
        new AppliedEventHandler(
            table, runs, recovery, waitingSteps, failureTracker, teamDemand, listener);
    for (Workflow workflow : table.all()) {
      recovery.recover(workflow, nowMillis, wallMillis);
      waitingSteps.refresh(workflow, wallMillis);
      teamDemand.update(workflow);
    }
  }

  // Batches of an earlier dispatcher of this term may still be recorded, and must not be taken for
  // batches of this one.
  private static long firstBatchNumber(long nowMillis) {
    return (nowMillis & MAX_BATCH_MILLIS) * BATCH_NUMBERS_PER_MILLI + 1;
  }

  // -- events from minions

  /**
   * Handles a status report of a minion. Reports may arrive late, twice or out of order.
   *
   * @param report the report
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleReport(MinionReport report, long nowMillis) {
    requireNonNull(report, "report is null");
    minions.handleReport(report, nowMillis);
    planDue = true;
  }

  /**
   * Handles a message of a control daemon: reports and announcements that it has received, and the
   * question whether reports that were confirmed earlier are still held.
   *
   * @param message the message
   * @param nowMillis monotonic time in milliseconds
   * @return the reports that are not held as the current state of a minion
   */
  public MinionReportsReply handleReports(MinionReports message, long nowMillis) {
    for (MinionReport report : requireNonNull(message, "message is null").getReportsList()) {
      if (report.getLeaving()) {
        handleLeave(report.getLife(), nowMillis);
      } else {
        handleReport(report, nowMillis);
      }
    }
    return MinionReportsReply.newBuilder().addAllMissing(minions.findMissing(message)).build();
  }

  /**
   * Handles the announcement of a minion that its process is about to end. Ignored for an unknown
   * minion and for a life that is not the current one.
   *
   * @param life the life that announces its end; without a time of birth if it is not known which
   *     life that is
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleLeave(MinionLife life, long nowMillis) {
    minions.handleLeave(requireNonNull(life, "life is null"), nowMillis);
    planDue = true;
  }

  /**
   * Handles the response to a lease renewal. Ignored if the minion has a newer life.
   *
   * @param life the life of the minion that the renewal was sent to
   * @param response the response
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleRenewal(MinionLife life, RenewalResponse response, long nowMillis) {
    requireNonNull(response, "response is null");
    Minion minion = minions.find(requireNonNull(life, "life is null"));
    if (minion != null) {
      leaseManager.handleResponse(minion, response, nowMillis);
      planDue = true;
    }
  }

  /**
   * Handles a failed lease renewal. Ignored if the minion has a newer life.
   *
   * @param life the life of the minion that the renewal was sent to
   * @param outcome why the renewal failed
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleRenewalFailure(MinionLife life, OrderOutcome outcome, long nowMillis) {
    Minion minion = minions.find(requireNonNull(life, "life is null"));
    if (minion != null) {
      leaseManager.handleFailure(minion, outcome, nowMillis);
    }
  }

  /**
   * Handles the outcome of a start order. Ignored if the run has ended.
   *
   * @param taskRun the run that the order was to start
   * @param outcome the outcome
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleStartOutcome(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    Member member = runs.find(requireNonNull(taskRun, "taskRun is null"));
    if (member != null && !member.isEnded()) {
      taskOrderSender.handleStartOutcome(member, outcome, nowMillis);
    }
  }

  /**
   * Handles the outcome of a stop order.
   *
   * @param taskRun the run that the order was to stop
   * @param outcome the outcome
   * @param nowMillis monotonic time in milliseconds
   */
  public void handleStopOutcome(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    Member member = runs.find(requireNonNull(taskRun, "taskRun is null"));
    if (member != null && !member.isEnded()) {
      taskOrderSender.handleStopOutcome(member, outcome, nowMillis);
    }
    stopRetransmitter.handleOutcome(taskRun, outcome, nowMillis);
  }

  private void handleNewLife(Minion previous, Minion newLife, long nowMillis) {
    leaseManager.handleNewLife(previous, newLife, nowMillis);
  }

  // -- events from the replicated log

  /**
   * Handles a batch of events that the replicated log has applied, and applies it to the workflow
   * table of this dispatcher.
   *
   * @param batch the events
   * @param problems for each event the reason of its rejection, or empty if it was applied
   * @param timeMillis replicated time of the batch in milliseconds since the epoch
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since the epoch
   */
  public void handleApplied(
      WorkflowBatch batch,
      List<Optional<Problem>> problems,
      long timeMillis,
      long nowMillis,
      long wallMillis) {
    table.apply(requireNonNull(batch, "batch is null"), timeMillis);
    for (int i = 0; i < batch.getEventsCount(); i++) {
      appliedEventHandler.handle(batch.getEvents(i), problems.get(i), nowMillis, wallMillis);
    }
    if (batch.getDispatchNumber() > 0) {
      leaseManager.handleRecorded(batch.getDispatchNumber());
    }
    planDue = true;
  }

  // -- decisions

  /**
   * Sends due renewals, starts and stops, runs a planning round if one is due, as after a change of
   * the catalog, and removes expired state. The results are available from {@link #takeOrders} and
   * {@link #takeProposals}.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since the epoch
   */
  public void advance(long nowMillis, long wallMillis) {
    leaseManager.advance(nowMillis);
    planDue |= catalogChanges.apply();
    if (wallMillis >= waitingSteps.nextStartMillis()) {
      waitingSteps.advance(wallMillis);
      planDue = true;
    }
    planDue |= !waitingSteps.isEmpty() && nowMillis - lastPlanMillis >= MAX_PLAN_PAUSE_MILLIS;
    if (planDue && nowMillis >= nextPlanMillis) {
      planDue = false;
      lastPlanMillis = nowMillis;
      nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS;
      planner.plan(waitingSteps.steps(), nowMillis, wallMillis);
    }
    slowRunMover.advance(waitingSteps, nowMillis);
    taskOrderSender.advance(nowMillis);
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
    runTimeEstimates.observeRunning(runs.runs(), nowMillis);
  }

  /**
   * Returns how long the owner may wait before the next call of {@link #advance} if no event
   * arrives meanwhile.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the longest pause in milliseconds, at least 1
   */
  public long maxPauseMillis(long nowMillis) {
    long nextMillis = planDue ? nextPlanMillis : nowMillis + MAX_PAUSE_MILLIS;
    for (Minion minion : minions.allToRenew()) {
      nextMillis = Math.min(nextMillis, minion.lease().nextDueMillis());
    }
    return Math.max(1, nextMillis - nowMillis);
  }

  /**
   * Removes and returns the orders to send.
   *
   * @return the orders added since the last call, oldest first
   */
  public List<Order> takeOrders() {
    return outbox.takeOrders();
  }

  /**
   * Removes and returns the next batch of events to propose to the replicated log. Must be called
   * until no events are left.
   *
   * @return the batch, without events if there are none to propose
   */
  public WorkflowBatch takeProposals() {
    return outbox.takeProposals();
  }

  // -- queries

  /**
   * Returns the numbers of minions, groups and accelerators by state.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the status at that time
   */
  public DispatcherStatus status(long nowMillis) {
    return DispatcherStatus.of(
        minions.all(),
        waitingSteps.steps(),
        runs.runs().size(),
        planner.longestIdleWaitMillis(),
        backlogs.highestPressurePercent(),
        backlogs.overloadedServices(),
        table.runTimes().size(),
        nowMillis);
  }

  /**
   * Returns the questions on the quotas of teams that this dispatcher answers.
   *
   * @return the queries, to be used like this dispatcher by one thread at a time
   */
  public QuotaQueries quotaQueries() {
    return quotaQueries;
  }

  /**
   * Finds a workflow.
   *
   * @param workflowId identifier of the workflow
   * @return the workflow, or empty if it is unknown or was removed after its retention
   */
  public Optional<Workflow> find(String workflowId) {
    return table.find(workflowId);
  }

  /**
   * Returns whether a call has submitted a workflow that is still known. Examines all workflows.
   *
   * @param callId identifier of the call
   * @return true if a workflow was submitted by the call
   */
  public boolean hasSubmissionOf(ByteString callId) {
    requireNonNull(callId, "callId is null");
    return !callId.isEmpty()
        && table.all().stream()
            .anyMatch(workflow -> workflow.submission().getCallId().equals(callId));
  }

  /**
   * Counts the workflows of a queue that have not started any task.
   *
   * @param queue the queue, identified by its host and path prefix
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
