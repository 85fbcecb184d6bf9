package org.hickoryspar.kernel.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.ControlSnapshot;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunStart;
import org.hickoryspar.protocol.RunTimeTableRecord;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.Test;

public class RunTimeSnapshotTest {

  private static final long START_MILLIS = 1_800_000_000_000L;

  private static ControlState stateWithEndedRun() {
    ControlState state = new ControlState();
    WorkflowStep step =
        WorkflowStep.newBuilder().setTasks(2).setGang(true).setEstimatedMillis(5_000).build();
    apply(
        state,
        WorkflowEvent.newBuilder()
            .setSubmit(
                SubmitWorkflow.newBuilder()
                    .setWorkflowId("w")
                    .setSpec(WorkflowSpec.newBuilder().addSteps(step))));
    RunStart.Builder start = RunStart.newBuilder().setWorkflowId("w").setRun(1);
    start.addMinions(MinionLife.newBuilder().setMinionId("a"));
    start.addMinions(MinionLife.newBuilder().setMinionId("b"));
    apply(state, WorkflowEvent.newBuilder().setRunStart(start));
    for (int task = 0; task < 2; task++) {
      RunEnd.Builder end = RunEnd.newBuilder().setWorkflowId("w").setRun(1).setTask(task);
      end.setCause(RunEnd.Cause.DONE).setRunMillis(3_000);
      apply(state, WorkflowEvent.newBuilder().setRunEnd(end));
    }
    return state;
  }

  private static void apply(ControlState state, WorkflowEvent.Builder event) {
    state.apply(
        Command.newBuilder()
            .setTimeMillis(START_MILLIS)
            .setWorkflows(WorkflowBatch.newBuilder().addEvents(event))
            .build());
  }

  /** Guards against a gang that counts once for each member, and against tables that are lost. */
  @Test
  public void shouldRestoreWhatWasLearnedWhenSnapshotHasRunTimes() {
    ControlState state = stateWithEndedRun();
    RunTimeTableRecord learned = state.snapshotWorkflows().runTimes();
    long runs = learned.getKeys(0).getRunTimes().getWeightsList().stream().mapToLong(w -> w).sum();
    assertEquals(runs, 1L << 20, "one run");

    ControlState restored = new ControlState();
    restored.restore(state.snapshot());

    assertEquals(restored.snapshotWorkflows().runTimes(), learned);
    assertEquals(restored.snapshot(), state.snapshot());
  }

  /** Guards against a replica that cannot start from the snapshot of an earlier version. */
  @Test
  public void shouldStartEmptyWhenSnapshotHasNoRunTimes() throws InvalidProtocolBufferException {
    ControlState state = stateWithEndedRun();
    ControlSnapshot earlier =
        ControlSnapshot.parseFrom(state.snapshot()).toBuilder().clearRunTimes().build();

    state.restore(earlier.toByteString());

    assertTrue(state.snapshotWorkflows().runTimes().getKeysList().isEmpty());
    assertEquals(state.snapshotWorkflows().records().size(), 1);
  }
}
