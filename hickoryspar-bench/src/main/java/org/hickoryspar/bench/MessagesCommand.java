package org.hickoryspar.bench;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.ConfigUpdate;
import org.hickoryspar.protocol.ConfigWatch;
import org.hickoryspar.protocol.ControlSnapshot;
import org.hickoryspar.protocol.EndpointDigest;
import org.hickoryspar.protocol.EndpointVersion;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.GangPlacement;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.Heartbeat;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.JobSpec;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.Shape;
import org.hickoryspar.protocol.SubmitJob;
import org.hickoryspar.protocol.TaskPlacement;
import org.hickoryspar.protocol.WorkerInfo;

/**
 * Prints the encoded sizes of messages and of the control snapshot, and fits lines to those that
 * depend on the number of tasks, endpoints or workers.
 *
 * <p>Identifiers have typical lengths. The sizes include the 4-byte frame header but not the TCP
 * and IP headers.
 */
public final class MessagesCommand implements org.hickoryspar.bench.Command {

  private static final int FRAME_HEADER_BYTES = 4;
  private static final List<Integer> TASK_COUNTS = List.of(1, 8, 16, 32, 64);
  private static final List<Integer> ENDPOINT_COUNTS = List.of(30, 60, 120, 240);
  private static final List<Integer> WORKER_COUNTS = List.of(120, 480, 960, 1_360, 1_700);

  /** Creates the command; it has no options. */
  public MessagesCommand() {}

  @Override
  public int run() {
    print("heartbeat of a connection", heartbeat());
    print("append without entries", appendRequest(AppendRequest.newBuilder().setRound(1L << 30)));
    print("append response", appendResponse());
    print("configuration watch", configWatch());
    print("configuration unchanged", configUpdate());
    print("log entry of a submitted job", logEntry(submitJob()));
    print("log entry of a gang step", logEntry(gangStep()));
    printAll(
        "log entry of a placement, by tasks", TASK_COUNTS, tasks -> logEntry(gangPlacement(tasks)));
    printAll("digest of endpoints, by endpoints", ENDPOINT_COUNTS, MessagesCommand::endpointDigest);
    printAll(
        "snapshot, by workers with 1,000 gangs of 10 at 1,700",
        WORKER_COUNTS,
        workers -> controlSnapshot(workers, workers * 1_000 / Deployment.TWO_YEAR_WORKERS));
    return 0;
  }

  private static void printAll(
      String name, List<Integer> sizes, IntFunction<? extends MessageLite> message) {
    List<Double> xs = new ArrayList<>();
    List<Double> ys = new ArrayList<>();
    for (int size : sizes) {
      MessageLite sized = message.apply(size);
      print(name + ": " + size, sized);
      xs.add((double) size);
      ys.add((double) FRAME_HEADER_BYTES + sized.getSerializedSize());
    }
    System.out.println("  bytes " + LinearFit.of(xs, ys));
  }

  private static void print(String name, MessageLite message) {
    System.out.printf(
        Locale.ROOT, "%-64s %8d bytes%n", name, FRAME_HEADER_BYTES + message.getSerializedSize());
  }

  private static Envelope heartbeat() {
    return Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();
  }

  private static Envelope appendRequest(AppendRequest.Builder append) {
    append.setPreviousIndex(1 << 24).setPreviousTerm(1_000).setCommitIndex(1 << 24);
    return envelope(replicationMessage().setAppendRequest(append));
  }

  private static Envelope appendResponse() {
    AppendResponse.Builder response =
        AppendResponse.newBuilder().setSuccess(true).setMatchIndex(1 << 24).setRound(1L << 30);
    return envelope(replicationMessage().setAppendResponse(response));
  }

  private static Envelope logEntry(Command.Builder command) {
    ByteString bytes = command.setTimeMillis(1L << 41).build().toByteString();
    LogEntry entry =
        LogEntry.newBuilder().setIndex(1 << 24).setTerm(1_000).setCommand(bytes).build();
    return appendRequest(AppendRequest.newBuilder().setRound(1L << 30).addEntries(entry));
  }

  private static ReplicationMessage.Builder replicationMessage() {
    return ReplicationMessage.newBuilder()
        .setFromReplica("control-1.1")
        .setToReplica("control-2.1")
        .setTerm(1_000);
  }

  private static Envelope envelope(ReplicationMessage.Builder message) {
    return Envelope.newBuilder().setReplication(message).build();
  }

  private static Envelope configWatch() {
    ConfigWatch watch =
        ConfigWatch.newBuilder().setEntryInstance("instance-4").setVersionInForce(900_000).build();
    return Envelope.newBuilder().setCorrelationId(1 << 24).setConfigWatch(watch).build();
  }

  private static Envelope configUpdate() {
    ConfigUpdate update =
        ConfigUpdate.newBuilder().setVersion(900_000).setLeaseMillis(3_000).build();
    return Envelope.newBuilder()
        .setCorrelationId(1 << 24)
        .setResponse(true)
        .setConfigUpdate(update)
        .build();
  }

  private static Command.Builder submitJob() {
    SubmitJob job =
        SubmitJob.newBuilder()
            .setJobId("job-00123456")
            .setIdempotencyKey("0192f3a4-5b6c-7d8e-9f01-23456789abcd")
            .setSpec(jobSpec())
            .build();
    return Command.newBuilder().setSubmitJob(job);
  }

  private static JobSpec jobSpec() {
    Shape shape =
        Shape.newBuilder().setCores(8).setMemoryMegabytes(32_000).setAccelerators(1).build();
    return JobSpec.newBuilder()
        .setName("reconstruction 4711")
        .setTeam("team-17")
        .setKind("reconstruction")
        .setTasks(10)
        .setPerTask(shape)
        .setAdjacency("rack")
        .setDeclaredRunMillis(36_000_000)
        .setPreemptible(true)
        .build();
  }

  private static Command.Builder gangStep() {
    GangStep step =
        GangStep.newBuilder()
            .setJobId("job-00123456")
            .setAttempt(1)
            .setPhase(GangStep.Phase.RUNNING)
            .build();
    return Command.newBuilder().setGangStep(step);
  }

  private static Command.Builder gangPlacement(int tasks) {
    GangPlacement.Builder placement =
        GangPlacement.newBuilder().setJobId("job-00123456").setAttempt(1);
    for (int i = 0; i < tasks; i++) {
      placement.addPlacements(taskPlacement(i));
    }
    return Command.newBuilder().setGangPlacement(placement);
  }

  private static TaskPlacement taskPlacement(int index) {
    return TaskPlacement.newBuilder()
        .setTask(index)
        .setWorker("dc-12-w" + (1_000 + index))
        .setLeaseId("job-00123456.1." + index)
        .build();
  }

  private static Envelope endpointDigest(int endpoints) {
    EndpointDigest.Builder digest = EndpointDigest.newBuilder();
    for (int i = 0; i < endpoints; i++) {
      digest.addVersions(
          EndpointVersion.newBuilder()
              .setMinionId("minion-" + (100 + i))
              .setIncarnation(1L << 41)
              .setSequence(100_000)
              .build());
    }
    return Envelope.newBuilder().setEndpointDigest(digest).build();
  }

  private static ControlSnapshot controlSnapshot(int workers, int jobs) {
    ControlSnapshot.Builder snapshot = ControlSnapshot.newBuilder().setTimeMillis(1L << 41);
    Shape shape =
        Shape.newBuilder().setCores(32).setMemoryMegabytes(128_000).setAccelerators(8).build();
    for (int i = 0; i < workers; i++) {
      snapshot.addWorkers(
          WorkerInfo.newBuilder()
              .setId("dc-12-w" + (1_000 + i))
              .setRack("dc-12-r" + i / Deployment.WORKERS_PER_RACK)
              .setDataCentre("dc-12")
              .setCapacity(shape));
    }
    for (int i = 0; i < jobs; i++) {
      JobRecord.Builder job =
          JobRecord.newBuilder()
              .setJobId("job-" + (10_000_000 + i))
              .setIdempotencyKey("0192f3a4-5b6c-7d8e-9f01-23456789abcd")
              .setSpec(jobSpec())
              .setSubmittedMillis(1L << 41)
              .setPhase(GangStep.Phase.RUNNING)
              .setPhaseSinceMillis(1L << 41);
      for (int task = 0; task < 10; task++) {
        job.addPlacements(taskPlacement(task));
      }
      snapshot.addJobs(job);
    }
    return snapshot.build();
  }
}
