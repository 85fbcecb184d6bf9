package org.hickoryspar.kernel.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.VoteRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the election right after the start, for which all voters are needed. */
public class StartElectionTest {

  private static final ReplicaOptions OPTIONS = ReplicaOptions.fastFailover();
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final List<String> VOTERS = List.of("a/1", "b/1", "c/1");

  private final Map<String, ReplicaCore> cores = new TreeMap<>();
  private final Deque<ReplicationMessage> inFlight = new ArrayDeque<>();
  private long nowNanos;

  @BeforeMethod
  void stopAll() {
    cores.clear();
    inFlight.clear();
    nowNanos = 0;
  }

  private void start(String id, int logLength) {
    Membership members = Membership.newBuilder().addAllVoters(VOTERS).build();
    List<LogEntry> entries = new ArrayList<>();
    entries.add(LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(members).build());
    for (int index = 2; index <= logLength; index++) {
      entries.add(LogEntry.newBuilder().setIndex(index).setTerm(1).setNoOp(true).build());
    }
    RecoveredState recovered = RecoveredState.of(new HardState(1, ""), Optional.empty(), entries);
    cores.put(
        id,
        new ReplicaCore(
            id, OPTIONS, new SplittableRandom(id.hashCode()), recovered, nowNanos, nowNanos));
  }

  private void step(String id, ReplicaEvent event) {
    for (ReplicaAction action : cores.get(id).step(event, nowNanos)) {
      if (action instanceof ReplicaAction.Send send) {
        inFlight.add(send.message());
      } else if (action instanceof ReplicaAction.Write write) {
        step(id, new ReplicaEvent.Synced(write.write().sequence()));
      }
    }
  }

  /** Lets time pass in ticks and delivers all messages to the replicas that run. */
  private void run(long millis) {
    for (long end = nowNanos + millis * NANOS_PER_MILLI; nowNanos < end; ) {
      nowNanos += 10 * NANOS_PER_MILLI;
      cores.keySet().forEach(id -> step(id, new ReplicaEvent.Tick()));
      while (!inFlight.isEmpty()) {
        ReplicationMessage message = inFlight.remove();
        if (cores.containsKey(message.getToReplica())) {
          step(message.getToReplica(), new ReplicaEvent.Received(message));
        }
      }
    }
  }

  private Optional<String> leader() {
    return cores.values().stream()
        .map(ReplicaCore::view)
        .filter(view -> view.role() == ReplicaRole.LEADER)
        .map(ReplicaView::replicaId)
        .findFirst();
  }

  @DataProvider
  Object[][] logLengths() {
    return new Object[][] {{1, 1, 1, "a/1"}, {1, 2, 1, "b/1"}, {1, 2, 2, "b/1"}, {1, 1, 2, "c/1"}};
  }

  /** Guards against a loss of all processes that is prolonged by an election timeout. */
  @Test(dataProvider = "logLengths")
  public void shouldElectTheMostCompleteLogAtOnceWhenAllVotersHaveStarted(
      int lengthOfA, int lengthOfB, int lengthOfC, String expected) {
    start("a/1", lengthOfA);
    start("b/1", lengthOfB);
    run(100);
    assertEquals(leader(), Optional.empty());
    start("c/1", lengthOfC);
    run(100);
    assertEquals(leader(), Optional.of(expected));
  }

  /**
   * Guards against a majority that elects a leader while the third voter, which has not been heard
   * of, may still hold a lease that relies on responses of their earlier processes.
   */
  @Test
  public void shouldNotElectBeforeTheTimeoutWhenAVoterIsMissing() {
    start("a/1", 1);
    start("b/1", 1);
    run(OPTIONS.electionTimeoutMinMillis() - 20);
    assertEquals(leader(), Optional.empty());
    assertEquals(cores.get("a/1").view().term(), 1);
    run(2 * OPTIONS.electionTimeoutMaxMillis());
    assertTrue(leader().isPresent());
  }

  /** Guards against a restarted replica that ends the term of a leader which the others follow. */
  @Test
  public void shouldKeepTheLeaderWhenOneReplicaRestarts() {
    VOTERS.forEach(id -> start(id, 1));
    run(200);
    String leader = leader().orElseThrow();
    long term = cores.get(leader).view().term();
    start("c/1", 1);
    run(OPTIONS.electionTimeoutMinMillis() - 20);
    assertEquals(leader(), Optional.of(leader));
    assertEquals(cores.get("c/1").view().term(), term);
    assertTrue(cores.get(leader).view().holdsLease(nowNanos, Long.MAX_VALUE));
  }

  /** Guards against a vote for a unanimous candidate by a replica that hears from a leader. */
  @Test
  public void shouldIgnoreUnanimousCandidatesWhenALeaderIsKnown() {
    VOTERS.forEach(id -> start(id, 1));
    run(200);
    long term = cores.get("b/1").view().term();
    VoteRequest request =
        VoteRequest.newBuilder().setUnanimous(true).setLastLogIndex(9).setLastLogTerm(9).build();
    step(
        "b/1",
        new ReplicaEvent.Received(
            ReplicationMessage.newBuilder()
                .setFromReplica("c/1")
                .setToReplica("b/1")
                .setTerm(term + 1)
                .setVoteRequest(request)
                .build()));
    assertEquals(cores.get("b/1").view().term(), term);
    assertFalse(inFlight.stream().anyMatch(ReplicationMessage::hasVoteResponse));
  }
}
