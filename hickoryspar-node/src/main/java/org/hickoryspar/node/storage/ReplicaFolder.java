package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.kernel.replication.HardState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;

/**
 * The data folder of a replica. The identity file is written last, so a folder without it contains
 * no state that the replica has acknowledged.
 */
public final class ReplicaFolder {

  static final String INITIAL_VOTER_SUFFIX = "/1";

  private static final String IDENTITY_FILE = "identity.json";
  private static final String LOCK_FILE = "lock";

  /**
   * Code of a failure that may be temporary: the disk is full, or another process holds the lock.
   */
  static final String NOT_WRITABLE = "folder-not-writable";

  private static final String PROBE_FILE = "probe";

  private final ObjectMapper mapper = new ObjectMapper();
  private final FileOperations files;
  private final Path folder;
  private final String cluster;
  private final String instanceId;

  /**
   * Creates an accessor for a folder without reading or writing it.
   *
   * @param files file operations
   * @param folder the folder
   * @param cluster name of the cluster
   * @param instanceId identifier of this instance
   */
  public ReplicaFolder(FileOperations files, Path folder, String cluster, String instanceId) {
    this.files = requireNonNull(files, "files is null");
    this.folder = requireNonNull(folder, "folder is null").toAbsolutePath();
    this.cluster = requireNonNull(cluster, "cluster is null");
    this.instanceId = requireNonNull(instanceId, "instanceId is null");
  }

  /**
   * Initialises an empty folder with the identity of the replica and a log that contains the
   * initial voters. Must be called once on each of the initial instances, with the same list, and
   * never for a replica that has lost its disk, which would reuse its earlier identity.
   *
   * @param initialInstances identifiers of the instances whose replicas are the initial voters
   * @return the identity, or a failure {@code "folder-not-empty"}, {@code "folder-not-writable"} or
   *     {@code "not-a-voter"}
   */
  public Result<ReplicaIdentity> initialise(List<String> initialInstances) {
    requireNonNull(initialInstances, "initialInstances is null");
    if (!initialInstances.contains(instanceId)) {
      return Result.failure(
          "not-a-voter",
          "expected " + instanceId + " among " + String.join(", ", initialInstances));
    }
    Membership.Builder voters = Membership.newBuilder();
    initialInstances.stream()
        .sorted()
        .forEach(instance -> voters.addVoters(instance + INITIAL_VOTER_SUFFIX));
    LogEntry membershipEntry =
        LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(voters).build();
    return withLock(
        () -> {
          Optional<Problem> notEmpty = checkEmpty();
          if (notEmpty.isPresent()) {
            return Result.failure(notEmpty.get());
          }
          ReplicaIdentity identity =
              new ReplicaIdentity(cluster, instanceId, instanceId + INITIAL_VOTER_SUFFIX);
          createReplica(identity, new HardState(1, ""), List.of(membershipEntry));
          EventLogger.log(StorageEvent.INITIALISED, identity.replicaId(), voters.getVotersList());
          return Result.success(identity);
        });
  }

  /**
   * Opens and locks the folder. In an empty folder, a replica with a new random identifier is
   * created: everything that an earlier replica of this instance acknowledged is lost, so the
   * instance must not vote under the earlier identifier.
   *
   * @param random source of the new identifier, which must not be seeded
   * @return the storage, which holds the lock until it is closed, or a failure {@code
   *     "foreign-folder"}, {@code "folder-not-empty"}, {@code "folder-not-writable"} or {@code
   *     "folder-incomplete"}
   */
  public Result<FileLogStorage> open(RandomGenerator random) {
    requireNonNull(random, "random is null");
    Closeable lock;
    try {
      files.createFolder(folder);
      lock = files.lock(folder.resolve(LOCK_FILE));
    } catch (IOException e) {
      return notWritable(e);
    }
    Result<FileLogStorage> opened;
    try {
      opened =
          openLocked(random).map(identity -> new FileLogStorage(files, folder, identity, lock));
    } catch (IOException e) {
      opened = notWritable(e);
    }
    if (!opened.isSuccess()) {
      closeQuietly(lock);
    }
    return opened;
  }

  private Result<ReplicaIdentity> openLocked(RandomGenerator random) throws IOException {
    checkWritable();
    if (containsFile(IDENTITY_FILE)) {
      return readIdentity();
    }
    Optional<Problem> notEmpty = checkEmpty();
    if (notEmpty.isPresent()) {
      return Result.failure(notEmpty.get());
    }
    String replicaId = String.format("%s/%016x", instanceId, random.nextLong());
    ReplicaIdentity identity = new ReplicaIdentity(cluster, instanceId, replicaId);
    createReplica(identity, new HardState(0, ""), List.of());
    EventLogger.log(StorageEvent.EMPTY_FOLDER, folder, replicaId);
    return Result.success(identity);
  }

  private Result<ReplicaIdentity> readIdentity() throws IOException {
    byte[] content = files.read(folder.resolve(IDENTITY_FILE));
    ReplicaIdentity identity;
    try {
      identity = mapper.readValue(content, ReplicaIdentity.class);
    } catch (JsonProcessingException e) {
      return Result.failure(
          "folder-incomplete",
          folder.resolve(IDENTITY_FILE) + " is damaged; empty the folder and replace the replica");
    }
    if (!identity.cluster().equals(cluster) || !identity.instanceId().equals(instanceId)) {
      return Result.failure(
          "foreign-folder",
          String.format(
              "%s belongs to instance %s of cluster %s, expected instance %s of cluster %s",
              folder, identity.instanceId(), identity.cluster(), instanceId, cluster));
    }
    if (!containsFile(HardStateFile.NAME)) {
      return Result.failure(
          "folder-incomplete",
          folder + " contains no term file; empty the folder and replace the replica");
    }
    return Result.success(identity);
  }

  // Ignores the files of an initialisation that was interrupted before it wrote the identity.
  private Optional<Problem> checkEmpty() throws IOException {
    for (Path file : files.list(folder)) {
      String name = String.valueOf(file.getFileName());
      boolean isLeftover =
          name.equals(LOCK_FILE)
              || name.equals(PROBE_FILE)
              || name.endsWith(AtomicFile.TEMPORARY_SUFFIX)
              || name.endsWith(CacheFile.SUFFIX)
              || (name.equals(HardStateFile.NAME) && HardStateFile.read(files, folder).term() <= 1)
              || (SegmentedLog.isSegment(file) && isFirstSegment(file));
      if (!isLeftover) {
        return Optional.of(
            Problem.of("folder-not-empty", folder + " contains " + name + " and is not empty"));
      }
    }
    return Optional.empty();
  }

  private boolean isFirstSegment(Path file) throws IOException {
    return RecordFormat.decode(file, files.read(file), 1, true).entries().size() <= 1;
  }

  private void createReplica(ReplicaIdentity identity, HardState hardState, List<LogEntry> entries)
      throws IOException {
    for (Path file : files.list(folder)) {
      if (!file.endsWith(LOCK_FILE)) {
        files.delete(file);
      }
    }
    HardStateFile.write(files, folder, hardState);
    try (SegmentedLog log = new SegmentedLog(files, folder)) {
      log.reset(1);
      log.append(entries);
      log.sync();
    }
    AtomicFile.write(
        files,
        folder.resolve(IDENTITY_FILE),
        List.of(ByteBuffer.wrap(mapper.writeValueAsBytes(identity))));
  }

  private void checkWritable() throws IOException {
    Path probe = folder.resolve(PROBE_FILE);
    try (FileOperations.OutputFile output = files.openForAppend(probe)) {
      output.write(ByteBuffer.wrap(instanceId.getBytes(StandardCharsets.UTF_8)));
      output.sync();
    }
    files.delete(probe);
  }

  private boolean containsFile(String name) throws IOException {
    return files.list(folder).contains(folder.resolve(name));
  }

  private Result<ReplicaIdentity> withLock(LockedAction action) {
    try {
      files.createFolder(folder);
      Closeable lock = files.lock(folder.resolve(LOCK_FILE));
      try {
        checkWritable();
        return action.run();
      } finally {
        lock.close();
      }
    } catch (IOException e) {
      return notWritable(e);
    }
  }

  private <T> Result<T> notWritable(IOException e) {
    return Result.failure(NOT_WRITABLE, folder + " cannot be used: " + e);
  }

  private static void closeQuietly(Closeable lock) {
    try {
      lock.close();
    } catch (IOException e) {
      EventLogger.log(StorageEvent.CLOSE_FAILED, e);
    }
  }

  private interface LockedAction {
    Result<ReplicaIdentity> run() throws IOException;
  }
}
