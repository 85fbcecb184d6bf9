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
