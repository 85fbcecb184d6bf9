package org.hickoryspar.kernel.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.VoteRequest;
import org.hickoryspar.protocol.VoteResponse;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaCoreTest {

  private static final ReplicaOptions OPTIONS = ReplicaOptions.defaults();
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private long nowNanos;

  /** Replays a single schedule and prints a trace, as in {@code -Dreplication.seed=17}. */
  private static final Long SEED = Long.getLong("replication.seed");

  private static final long SCHEDULES = Long.getLong("replication.schedules", 2_000);
  private static final long FIRST_SEED = Long.getLong("replication.firstSeed", 1);
  private static final long FAULT_MILLIS = 3_000;

  // -- step

  /**
   * Guards against two leaders in a term, lost or changed entries, stale reads, commands that are
   * applied twice, and a cluster that does not recover.
   */
  @Test
  public void shouldPreserveSafetyAndRecoverWhenFaultsAreRandom() throws Exception {
    if (SEED != null) {
      new Simulation(SEED, true).run(FAULT_MILLIS);
      return;
    }
    ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    AtomicLong commands = new AtomicLong();
    AtomicLong reads = new AtomicLong();
    AtomicLong barriers = new AtomicLong();
    AtomicLong terms = new AtomicLong();
    long startedNanos = System.nanoTime();
    ForkJoinPool pool = new ForkJoinPool(4);
    pool.submit(
            () ->
                LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                    .parallel()
                    .forEach(
                        seed -> {
                          Simulation simulation = new Simulation(seed, false);
                          try {
                            simulation.run(FAULT_MILLIS);
                          } catch (RuntimeException | AssertionError e) {
                            failures.add("-Dreplication.seed=" + seed + ": " + e);
                          }
                          commands.addAndGet(simulation.safetyChecker().commandCount());
                          reads.addAndGet(simulation.safetyChecker().leaseReadCount());
                          barriers.addAndGet(simulation.safetyChecker().barrierReadCount());
                          terms.addAndGet(simulation.safetyChecker().termCount());
                        }))
        .get();
    pool.shutdown();
    System.out.printf(
        "replication: %d schedules in %.1f s: %d commands, %d lease reads, %d barrier reads, "
            + "%d terms with a leader%n",
        SCHEDULES,
        (System.nanoTime() - startedNanos) / 1e9,
        commands.get(),
        reads.get(),
        barriers.get(),
        terms.get());
    assertTrue(failures.isEmpty(), failures.size() + " failed:\n" + String.join("\n", failures));
  }

  /** Guards against a vote that is lost in a crash and then granted to another candidate. */
  @Test
  public void shouldDeferVoteResponseWhenVoteIsNotSynced() {
    ReplicaCore core = follower();
    nowNanos += NANOS_PER_SECOND;
    assertEquals(sentMessages(receive(core, voteRequest(false))), List.of());
    List<ReplicationMessage> released = sentMessages(step(core, new ReplicaEvent.Synced(1)));
    assertTrue(released.get(0).getVoteResponse().getGranted());
  }

  @DataProvider
  Object[][] voteRequests() {
    return new Object[][] {
      {0, false, false},
      {NANOS_PER_SECOND - 1, false, false},
      {NANOS_PER_SECOND, false, true},
      {0, true, true}
    };
  }

  /**
   * Guards against a restarted process that votes for another candidate while the leader still
   * holds a lease that relies on a response of the earlier process.
   */
  @Test(dataProvider = "voteRequests")
  public void shouldIgnoreVoteRequestsWhenRestartedRecently(
      long afterNanos, boolean transfer, boolean granted) {
    ReplicaCore core = follower();
    nowNanos += afterNanos;
    receive(core, voteRequest(transfer));
    assertEquals(core.view().term() == 2, granted);
  }

  /**
   * Guards against a lease that is used after TimeoutNow, which makes the target start an election
   * that skips the check for a recent leader.
   */
  @Test
  public void shouldRenounceLeaseWhenTimeoutNowIsSent() {
    ReplicaCore core = leaderWithLease();
    assertTrue(core.view().holdsLease(nowNanos, 2));
    List<ReplicationMessage> messages =
        sentMessages(step(core, new ReplicaEvent.TransferLeadership(1)));
    assertTrue(messages.stream().anyMatch(ReplicationMessage::hasTimeoutNow));
    assertFalse(core.view().holdsLease(nowNanos, 2));
    nowNanos += NANOS_PER_SECOND / 2;
    receiveAppendResponse(core, 2, core.view().lastIndex());
    assertFalse(core.view().holdsLease(nowNanos, 2));
  }

  /** Guards against a lease that starts when a slow response arrives. */
  @Test
  public void shouldMeasureLeaseFromSendTimeWhenResponseIsSlow() {
    ReplicaCore core = leaderWithLease();
    step(core, new ReplicaEvent.ReadBarrier(1));
    nowNanos += 700_000_000;
    receiveAppendResponse(core, 2, 2);
    assertTrue(core.view().holdsLease(nowNanos + 19_000_000, 2));
    assertFalse(core.view().holdsLease(nowNanos + 20_000_000, 2));
  }

  /**
   * Guards against an entry of an earlier term that is committed because a majority holds it, and
   * is overwritten by a later leader.
   */
  @Test
  public void shouldCommitEarlierTermsOnlyWhenCurrentTermEntryIsReplicated() {
    ReplicaCore core = newLeader();
    receiveAppendResponse(core, 1, 1);
    assertEquals(core.view().commitIndex(), 0);
    receiveAppendResponse(core, 1, 2);
    assertEquals(core.view().commitIndex(), 2);
  }

  /**
   * Guards against acknowledging an entry that a queued write truncates before a later write
   * appends it again.
   */
  @Test
  public void shouldNotAcknowledgeEntriesWhenQueuedWriteTruncatesThem() {
    ReplicaCore core = follower();
    receive(core, appendRequest(2, 1, entry(2, 2)));
    receive(core, appendRequest(3, 1, entry(2, 3)));
    receive(core, appendRequest(4, 1, entry(2, 2)));
    step(core, new ReplicaEvent.Synced(1));
    List<ReplicationMessage> responses = sentMessages(receive(core, appendRequest(4, 2)));
    responses.forEach(
        response ->
            assertTrue(response.getAppendResponse().getMatchIndex() < 2, response.toString()));
    step(core, new ReplicaEvent.Synced(3));
    assertEquals(
        sentMessages(receive(core, appendRequest(4, 2))).get(0).getAppendResponse().getMatchIndex(),
        2);
  }

  /** Guards against an outage of all replicas that is prolonged by their startup time. */
  @Test
  public void shouldMeasureVoteDelayFromLastContactWhenRestarted() {
    long lastContactNanos = nowNanos - NANOS_PER_SECOND / 2;
    ReplicaCore early = follower(lastContactNanos);
    ReplicaCore late = follower();
    nowNanos += NANOS_PER_SECOND / 2;
    receive(early, voteRequest(false));
    receive(late, voteRequest(false));
    assertEquals(early.view().term(), 2);
    assertEquals(late.view().term(), 1);
  }

  /** Guards against a log that grows without limit while the other voters do not keep up. */
  @Test
  public void shouldRejectProposalsWhenUncommittedBytesReachLimit() {
    ReplicaCore core = leaderWithLease();
    ByteString command = ByteString.copyFrom(new byte[1 << 20]);
    long accepted = 0;
    boolean rejected = false;
    for (int id = 0; !rejected && accepted <= OPTIONS.maxUncommittedBytes() >> 20; id++) {
      List<ReplicaAction> actions =
          step(core, new ReplicaEvent.Propose(List.of(new ReplicaEvent.Proposal(id, command))));
      rejected = actions.stream().anyMatch(ReplicaAction.Rejected.class::isInstance);
      accepted += rejected ? 0 : 1;
    }
    assertTrue(rejected, accepted + " proposals of 1 MiB were accepted");
    assertTrue(core.view().logBytes() <= OPTIONS.maxUncommittedBytes() + (1 << 10));

    step(core, new ReplicaEvent.Synced(Long.MAX_VALUE));
    receiveAppendResponse(core, 1, core.view().lastIndex());
    List<ReplicaAction> actions =
        step(core, new ReplicaEvent.Propose(List.of(new ReplicaEvent.Proposal(99, command))));
    assertTrue(actions.stream().anyMatch(ReplicaAction.Accepted.class::isInstance));
  }

  private ReplicaCore follower() {
    return follower(nowNanos);
  }

  private ReplicaCore follower(long lastContactNanos) {
    Membership members = Membership.newBuilder().addAllVoters(List.of("a", "b", "c")).build();
    LogEntry firstEntry =
        LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(members).build();
    return new ReplicaCore(
        "a",
        OPTIONS,
        new SplittableRandom(1),
        RecoveredState.of(new HardState(1, ""), Optional.empty(), List.of(firstEntry)),
        lastContactNanos,
        nowNanos);
  }

  /** Returns a replica that was elected in term 2 and has synced the first entry of the term. */
  private ReplicaCore newLeader() {
    ReplicaCore core = follower();
    nowNanos += 2 * NANOS_PER_SECOND;
    step(core, new ReplicaEvent.Tick());
    VoteResponse.Builder granted = VoteResponse.newBuilder().setGranted(true);
    receive(core, messageFrom("b", 2).setVoteResponse(granted.setPreVote(true)));
    step(core, new ReplicaEvent.Synced(1));
    receive(core, messageFrom("b", 2).setVoteResponse(granted.setPreVote(false)));
    step(core, new ReplicaEvent.Synced(2));
    return core;
  }

  private ReplicaCore leaderWithLease() {
    ReplicaCore core = newLeader();
    receiveAppendResponse(core, 1, 2);
    return core;
  }

  private void receiveAppendResponse(ReplicaCore core, long round, long matchIndex) {
    receive(
        core,
        messageFrom("b", 2)
            .setAppendResponse(
                AppendResponse.newBuilder()
                    .setSuccess(true)
                    .setRound(round)
                    .setMatchIndex(matchIndex)));
  }

  private static ReplicationMessage.Builder voteRequest(boolean transfer) {
    return messageFrom("b", 2)
        .setVoteRequest(
            VoteRequest.newBuilder().setLastLogIndex(1).setLastLogTerm(1).setTransfer(transfer));
  }

  private static ReplicationMessage.Builder appendRequest(
      long term, long previousIndex, LogEntry... entries) {
    return messageFrom("b", term)
        .setAppendRequest(
            AppendRequest.newBuilder()
                .setPreviousIndex(previousIndex)
                .setPreviousTerm(previousIndex)
                .addAllEntries(List.of(entries)));
  }

  private static LogEntry entry(long index, long term) {
    return LogEntry.newBuilder().setIndex(index).setTerm(term).setNoOp(true).build();
  }

  private static ReplicationMessage.Builder messageFrom(String replica, long term) {
    return ReplicationMessage.newBuilder().setFromReplica(replica).setToReplica("a").setTerm(term);
  }

  private List<ReplicaAction> receive(ReplicaCore core, ReplicationMessage.Builder message) {
    return step(core, new ReplicaEvent.Received(message.build()));
  }

  private List<ReplicaAction> step(ReplicaCore core, ReplicaEvent event) {
    return core.step(event, nowNanos);
  }

  private static List<ReplicationMessage> sentMessages(List<ReplicaAction> actions) {
    return actions.stream()
        .filter(ReplicaAction.Send.class::isInstance)
        .map(action -> ((ReplicaAction.Send) action).message())
        .toList();
  }
}
