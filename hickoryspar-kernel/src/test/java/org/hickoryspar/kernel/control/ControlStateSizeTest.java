package org.hickoryspar.kernel.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.hickoryspar.protocol.Claim;
import org.hickoryspar.protocol.ClaimBatch;
import org.hickoryspar.protocol.ClaimResult;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.FleetChange;
import org.hickoryspar.protocol.Outcome;
import org.hickoryspar.protocol.OutcomeBatch;
import org.hickoryspar.protocol.OutcomeRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ControlStateSizeTest {

  private static final long NOW_MILLIS = 1_800_000_000_000L;
  private static final String ENTRY = "e1";
  private static final int BODY_BYTES = 64 << 10;

  private ControlState state;

  @BeforeMethod
  void createState() {
    state = new ControlState();
  }

  // -- apply

  /** Guards against replicas that run out of memory by a history of large changes. */
  @Test
  public void shouldBoundHistoryWhenChangesAreLarge() {
    int changes = 100;
    int changeBytes = 100 << 10;
    for (int i = 0; i < changes; i++) {
      apply(
          Command.newBuilder()
              .setFleetChange(
                  FleetChange.newBuilder()
                      .setChangeId("change " + i)
                      .setOwner("olive")
                      .setBaseVersion(i)
                      .setMergePatchJson(largePatch(changeBytes))));
    }
    assertEquals(state.fleetVersion(), changes);
    long historyBytes =
        state.fleetHistory().stream().mapToLong(entry -> entry.getSerializedSize()).sum();
    assertTrue(historyBytes <= FleetState.MAX_HISTORY_BYTES, historyBytes + " bytes");
    assertFalse(state.fleetDeltasAfter(1).isPresent(), "the whole document is sent instead");
    assertEquals(state.fleetDeltasAfter(changes - 1).orElseThrow().size(), 1);
  }

  private static ByteString largePatch(int sizeBytes) {
    return ByteString.copyFromUtf8("{\"exceptions\":\"" + "x".repeat(sizeBytes) + "\"}");
  }

  /**
   * Guards against replicas that run out of memory by the bodies of responses, and against replicas
   * that differ because one of them has started from a snapshot.
   */
  @Test
  public void shouldDropOldestBodiesWhenRecordedBodiesAreLarge() {
    List<String> keys = new ArrayList<>();
    int claims = (int) (ClaimTable.MAX_BODY_BYTES / BODY_BYTES) + 20;
    ControlState restored = new ControlState();
    for (int i = 0; i < claims; i++) {
      keys.add(claimAndComplete(i));
      if (i == claims / 2) {
        restored.restore(state.snapshot());
      } else if (i > claims / 2) {
        restored.apply(claim(keys.get(i), i));
        restored.apply(outcome(keys.get(i)));
      }
    }
    assertTrue(state.snapshot().size() <= ClaimTable.MAX_BODY_BYTES + (1 << 20));
    assertEquals(restored.snapshot(), state.snapshot());
    assertTrue(recordedOutcome(keys.get(0)).getBodyDropped());
    assertEquals(recordedOutcome(keys.get(0)).getHttpStatus(), 200);
    assertEquals(recordedOutcome(keys.get(claims - 1)).getBody().size(), BODY_BYTES);
  }

  private String claimAndComplete(int number) {
    long randomBits = 0x8000_0000_0000_0000L | number;
    String key = new UUID((NOW_MILLIS << 16) | 0x7000L, randomBits).toString();
    state.apply(claim(key, number));
    state.apply(outcome(key));
    return key;
  }

  private static Command claim(String key, int number) {
    return Command.newBuilder()
        .setTimeMillis(NOW_MILLIS + number)
        .setClaims(
            ClaimBatch.newBuilder()
                .setEntryInstance(ENTRY)
                .addClaims(Claim.newBuilder().setTeam("north").setKey(key).setClaimId(key)))
        .build();
  }

  private static Command outcome(String key) {
    Outcome outcome =
        Outcome.newBuilder()
            .setKind(Outcome.Kind.ANSWERED)
            .setHttpStatus(200)
            .setBody(ByteString.copyFrom(new byte[BODY_BYTES]))
            .build();
    return Command.newBuilder()
        .setOutcomes(
            OutcomeBatch.newBuilder()
                .setEntryInstance(ENTRY)
                .addRecords(
                    OutcomeRecord.newBuilder().setTeam("north").setKey(key).setOutcome(outcome)))
        .build();
  }

  private Outcome recordedOutcome(String key) {
    CommandResult result = state.apply(claim(key, 0));
    ClaimResult claimed = ((CommandResult.Claimed) result).result().getResults(0);
    assertEquals(claimed.getStatus(), ClaimResult.Status.COMPLETED);
    return claimed.getOutcome();
  }

  private void apply(Command.Builder command) {
    state.apply(command.setTimeMillis(NOW_MILLIS).build());
  }
}
