package org.hickoryspar.node.replication;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.replication.LocalCluster.LocalReplica;
import org.hickoryspar.node.storage.FaultyFileOperations;
import org.hickoryspar.node.storage.FaultyFileOperations.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReplicaDriverTest {

  private static final int LARGE_COMMANDS = 100;
  private static final int LARGE_COMMAND_BYTES = 64 << 10;

  /** What is retained before a snapshot, what is appended until the next one, and one command. */
  private static final long MAX_LOG_BYTES =
      LocalCluster.OPTIONS.retainedBytes()
          + LocalCluster.OPTIONS.snapshotIntervalBytes()
          + 2 * LARGE_COMMAND_BYTES;

  private Path root;
  private LocalCluster cluster;

  @BeforeMethod
  void startCluster() throws IOException {
    root = Files.createTempDirectory("replicas");
    cluster = new LocalCluster(root, List.of("a", "b", "c"));
    cluster.initialise();
    cluster.startAll();
  }

  @AfterMethod(alwaysRun = true)
  void stopCluster() throws IOException {
    cluster.close();
    MoreFiles.deleteRecursively(root, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  // -- propose

  /** Guards against commands that are lost or applied twice when all processes restart. */
  @Test
  public void shouldKeepCommandsWhenAllReplicasRestart() throws IOException {
    LocalReplica leader = cluster.awaitLeader();
    proposeIncrements(leader, 1_000);
    cluster.close();
    long startNanos = System.nanoTime();
    cluster.startAll();
    LocalReplica newLeader = cluster.awaitLeader();
    assertEquals(readSum(newLeader), 1_000);
    assertTrue(
        newLeader.stateMachine.appliedCommands.size()
            <= 2 * LocalCluster.OPTIONS.snapshotIntervalEntries(),
        "a restart must replay only the entries after the latest snapshot");
    System.out.printf(
        "restart after 1,000 commands: %d ms until a lease, %d commands replayed%n",
        (System.nanoTime() - startNanos) / 1_000_000,
        newLeader.stateMachine.appliedCommands.size());
  }

  /** Guards against the loss of an acknowledged command when its leader stops. */
  @Test
  public void shouldKeepAcknowledgedCommandsWhenLeaderStops() throws IOException {
    LocalReplica leader = cluster.awaitLeader();
    proposeIncrements(leader, 50);
    cluster.stop(leader);
    LocalReplica newLeader = cluster.awaitLeader();
    assertEquals(readSum(newLeader), 50);
    assertEquals(newLeader.add(1), Result.success(51L));
    LocalReplica restarted = cluster.start(leader.instance);
    await().until(() -> restarted.stateMachine.sum.get() == 51);
  }

  /**
   * Guards against replicas that run out of memory and disk space because the log is bounded by the
   * number of its entries alone: hundreds of changes of a large configuration stay below it.
   */
  @Test
  public void shouldBoundSizeOfLogWhenCommandsAreLarge() throws IOException {
    LocalReplica leader = cluster.awaitLeader();
    LocalReplica stopped = cluster.others(leader).get(0);
    cluster.stop(stopped);
    for (int i = 0; i < LARGE_COMMANDS; i++) {
      assertTrue(leader.add(largeCommand()).isSuccess());
    }
    // The stopped replica lags by more than what the log retains, and needs a snapshot.
    cluster.start(stopped.instance);
    for (String instance : List.of("a", "b", "c")) {
      LocalReplica replica = cluster.replica(instance);
      await().until(() -> replica.stateMachine.sum.get() == LARGE_COMMANDS);
      await().until(() -> replica.status().logBytes() <= MAX_LOG_BYTES);
      await().until(() -> logFileBytes(instance) <= MAX_LOG_BYTES);
    }
    cluster.close();
    cluster.startAll();
    assertEquals(readSum(cluster.awaitLeader()), LARGE_COMMANDS);
  }

  private static ByteString largeCommand() {
    return ByteString.copyFromUtf8("0".repeat(LARGE_COMMAND_BYTES - 1) + '1');
  }

  private long logFileBytes(String instance) throws IOException {
    long sizeBytes = 0;
    try (Stream<Path> files = Files.list(cluster.path(instance))) {
      for (Path file : files.filter(path -> path.toString().endsWith(".segment")).toList()) {
        sizeBytes += Files.size(file);
      }
    }
    return sizeBytes;
  }

  // -- status

  @DataProvider
  Object[][] partitions() {
    return new Object[][] {
      {"both ways", true, true}, {"outgoing", true, false}, {"incoming", false, true}
    };
  }

  /** Guards against a leader that holds a lease after the others may have elected a new leader. */
  @Test(dataProvider = "partitions")
  public void shouldLoseLeaseBeforeNewLeaderHoldsOneWhenPartitioned(
      String name, boolean outgoing, boolean incoming) {
    LocalReplica oldLeader = cluster.awaitLeader();
    for (LocalReplica other : cluster.others(oldLeader)) {
      if (outgoing) {
        cluster.dropMessages(oldLeader, other);
      }
      if (incoming) {
        cluster.dropMessages(other, oldLeader);
      }
    }
    await()
        .pollInterval(Duration.ofMillis(2))
        .until(
            () -> {
              boolean newLease =
                  cluster.others(oldLeader).stream()
                      .anyMatch(replica -> replica.status().holdsLease());
              assertFalse(newLease && oldLeader.status().holdsLease(), "two replicas hold a lease");
              return newLease;
            });
    LocalReplica newLeader = cluster.awaitLeader();
    assertEquals(newLeader.add(7), Result.success(7L));
    assertFalse(oldLeader.add(5).isSuccess());
    cluster.heal();
    await().until(() -> oldLeader.stateMachine.sum.get() == 7);
  }

  /** Guards against a leader that still holds its lease after a pause of the same length. */
  @Test
  public void shouldNotHoldLeaseWhenProcessWasPaused() {
    LocalReplica leader = cluster.awaitLeader();
    leader.clockOffsetNanos.addAndGet(LocalCluster.OPTIONS.leaseMillis() * 1_000_000);
    assertFalse(leader.status().holdsLease());
  }

  // -- transferLeadership

  /** Guards against a leadership transfer that leaves the cluster without a leader. */
  @Test
  public void shouldElectSuccessorWhenLeadershipIsTransferred() {
    LocalReplica leader = cluster.awaitLeader();
    String successorId = leader.driver.transferLeadership().join().getOrElse("none");
    assertFalse(successorId.equals("none") || successorId.equals(leader.replicaId), successorId);
    LocalReplica newLeader = cluster.awaitLeader();
    assertEquals(newLeader.replicaId, successorId);
    assertEquals(newLeader.add(3), Result.success(3L));
  }

  // -- close

  @DataProvider
  Object[][] diskFaults() {
    return new Object[][] {{Fault.FAILED_SYNC}, {Fault.DISK_FULL}};
  }

  /**
   * Guards against a replica that retries a failed sync and acknowledges entries it did not store.
   */
  @Test(dataProvider = "diskFaults")
  public void shouldStopReplicaWhenDiskFails(Fault fault) throws IOException {
    LocalReplica leader = cluster.awaitLeader();
    LocalReplica follower = cluster.others(leader).get(0);
    cluster.stop(follower);
    FaultyFileOperations files = new FaultyFileOperations();
    LocalReplica faulty = cluster.start(follower.instance, files);
    await().until(() -> leader.status().matchIndexes().getOrDefault(faulty.replicaId, 0L) > 1);
    files.failAfter(fault, 0);
    assertEquals(leader.add(1), Result.success(1L));
    await().until(() -> !faulty.failures.isEmpty());
    int syncs = files.syncs();
    long matchIndex = leader.status().matchIndexes().get(faulty.replicaId);
    assertEquals(leader.add(1), Result.success(2L));
    assertFalse(faulty.add(1).isSuccess());
    assertFalse(faulty.status().holdsLease());
    assertEquals(faulty.failures.size(), 1);
    assertEquals(files.syncs(), syncs);
    assertEquals(leader.status().matchIndexes().get(faulty.replicaId), matchIndex);
    files.failAfter(fault, Integer.MAX_VALUE);
    cluster.stop(faulty);
    LocalReplica restarted = cluster.start(follower.instance);
    await().until(() -> restarted.stateMachine.sum.get() == 2);
  }

  // -- addVoter

  /** Guards against a replica that votes under its old identity after it lost its disk. */
  @Test
  public void shouldReplaceReplicaWhenDiskIsLost() throws IOException {
    LocalReplica leader = cluster.awaitLeader();
    proposeIncrements(leader, 500);
    LocalReplica oldReplica = cluster.others(leader).get(0);
    cluster.stop(oldReplica);
    MoreFiles.deleteRecursively(
        cluster.path(oldReplica.instance), RecursiveDeleteOption.ALLOW_INSECURE);
    LocalReplica newReplica = cluster.start(oldReplica.instance);
    assertFalse(newReplica.replicaId.equals(oldReplica.replicaId));
    assertEquals(newReplica.status().role(), "learner");
    Result<String> withoutReplaces =
        leader.driver.addVoter(newReplica.replicaId, Optional.empty()).join();
    assertEquals(withoutReplaces.fold(Problem::code, d -> d), "instance-has-voter");
    Result<String> added =
        leader.driver.addVoter(newReplica.replicaId, Optional.of(oldReplica.replicaId)).join();
    assertTrue(added.isSuccess(), added.toString());
    await().until(() -> newReplica.status().voters().contains(newReplica.replicaId));
    await().until(() -> !newReplica.status().voters().contains(oldReplica.replicaId));
    await().until(() -> newReplica.stateMachine.sum.get() == 500);
  }

  private static long readSum(LocalReplica replica) {
    assertTrue(replica.driver.readBarrier().join().isSuccess());
    return replica.stateMachine.sum.get();
  }

  private static void proposeIncrements(LocalReplica leader, int count) {
    List<CompletableFuture<Result<Long>>> responses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      responses.add(leader.driver.propose(ByteString.copyFromUtf8("1")));
      if (i % 20 == 0) {
        responses.get(i).join();
      }
    }
    responses.forEach(
        response -> assertTrue(response.join().isSuccess(), response.join().toString()));
  }
}
