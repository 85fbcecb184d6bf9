package org.hickoryspar.kernel.workflow;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.GroupRecord;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.WorkflowStep;

/** Tasks of a step that start and end together: all tasks of a gang step, or a single task. */
public final class TaskGroup {

  private final int firstTask;
  private final int size;
  private int lastRun;
  private int failures;
  private boolean done;
  private String checkpoint = "";
  private final List<Run> activeRuns = new ArrayList<>(1);

  TaskGroup(int firstTask, int size) {
    this.firstTask = firstTask;
    this.size = size;
  }

  void restore(GroupRecord record) {
    lastRun = record.getLastRun();
    failures = record.getFailures();
    done = record.getDone();
    checkpoint = record.getCheckpoint();
    record.getActiveList().forEach(run -> activeRuns.add(Run.restore(run)));
  }

  GroupRecord toRecord() {
    GroupRecord.Builder record =
        GroupRecord.newBuilder()
            .setLastRun(lastRun)
            .setFailures(failures)
            .setDone(done)
            .setCheckpoint(checkpoint);
    activeRuns.forEach(run -> record.addActive(run.toRecord()));
    return record.build();
  }

  Optional<Problem> start(RunStart start, WorkflowStep step, long nowMillis) {
    if (done) {
      return rejected("the task group is already done");
    }
    if (start.getRun() != lastRun + 1) {
      return rejected("expected run " + (lastRun + 1) + ", found " + start.getRun());
    }
    if (start.getMinionsCount() != size) {
      return rejected("expected " + size + " minions, found " + start.getMinionsCount());
    }
    if (!activeRuns.isEmpty() && !step.getSpeculative()) {
      return rejected("run " + activeRuns.get(0).number() + " has not ended");
    }
    lastRun = start.getRun();
    activeRuns.add(new Run(start.getRun(), start.getMinionsList(), nowMillis));
    return Optional.empty();
  }

  /** Records the end of a member; returns whether the group is done by it. */
  boolean end(RunEnd end, WorkflowStep step) {
    Run run = findRun(end.getRun()).orElse(null);
    int member = end.getTask() - firstTask;
    if (run == null || run.hasEnded(member)) {
      return false;
    }
    boolean wasDone = done;
    boolean failureCounted = run.hasEndCause(RunEnd.Cause.TASK_FAILED);
    // A stopped member saves its complete state; the last checkpoints of the others are older.
    boolean hasFinalCheckpoint = run.hasEndCause(RunEnd.Cause.STOPPED);
    run.end(member, end.getCause());
    if (!end.getCheckpoint().isEmpty() && !hasFinalCheckpoint) {
      checkpoint = end.getCheckpoint();
    }
    if (!step.getLongRunning()) {
      done |= end.getCause() == RunEnd.Cause.DONE;
      failures += end.getCause() == RunEnd.Cause.TASK_FAILED && !failureCounted ? 1 : 0;
    }
    if (run.isEnded()) {
      activeRuns.remove(run);
    }
    return done && !wasDone;
  }

  /**
   * Returns the index of the first task within the step.
   *
   * @return the index, from 0
   */
  public int firstTask() {
    return firstTask;
  }

  /**
   * Returns the number of tasks in the group.
   *
   * @return at least 1
   */
  public int size() {
    return size;
  }

  /**
   * Returns the number of the latest run.
   *
   * @return the number, 0 before the first run
   */
  public int lastRun() {
    return lastRun;
  }

  /**
   * Returns the number of runs in which a task failed. Runs of a long-running step are not counted.
   *
   * @return the number of failed attempts, at least 0
   */
  public int failures() {
    return failures;
  }

  /**
   * Returns whether the tasks are done.
   *
   * @return true once a member of a run has ended as done; always false for a long-running step
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the latest recorded checkpoint, from which the next run continues.
   *
   * @return the checkpoint, empty if none is recorded
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Returns the runs with members that have not ended.
   *
   * @return an unmodifiable view, oldest run first
   */
  public List<Run> activeRuns() {
    return Collections.unmodifiableList(activeRuns);
  }

  /**
   * Finds an active run.
   *
   * @param number number of the run
   * @return the run, or empty if it has ended or does not exist
   */
  public Optional<Run> findRun(int number) {
    return activeRuns.stream().filter(run -> run.number() == number).findFirst();
  }

  private static Optional<Problem> rejected(String message) {
    return Optional.of(Problem.of("run-refused", requireNonNull(message, "message is null")));
  }
}
