package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.replication.HardState;
import org.hickoryspar.kernel.replication.LogStorage;
import org.hickoryspar.kernel.replication.RecoveredState;
import org.hickoryspar.kernel.replication.Snapshot;
import org.hickoryspar.kernel.replication.StorageWrite;
import org.hickoryspar.kernel.replication.StoredEntry;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.LogEntry;

/**
 * Durable storage of a replica in the files of one folder. Opened by {@link ReplicaFolder}; holds
 * the lock on the folder until it is closed.
 */
public final class FileLogStorage implements LogStorage {

  private final FileOperations files;
  private final Path folder;
  private final ReplicaIdentity identity;
  private final Closeable lock;
  private final SegmentedLog log;
  private boolean failed;

  FileLogStorage(FileOperations files, Path folder, ReplicaIdentity identity, Closeable lock) {
    this.files = files;
    this.folder = folder;
    this.identity = identity;
    this.lock = lock;
    this.log = new SegmentedLog(files, folder);
  }

  /**
   * Returns the identity that is stored in the folder.
   *
   * @return the identity
   */
  public ReplicaIdentity identity() {
    return identity;
  }

  @Override
  public RecoveredState load() throws IOException {
    List<Path> segments = new ArrayList<>();
    List<Path> snapshots = new ArrayList<>();
    for (Path file : files.list(folder)) {
      if (file.toString().endsWith(AtomicFile.TEMPORARY_SUFFIX)) {
        files.delete(file);
      } else if (SegmentedLog.isSegment(file)) {
        segments.add(file);
      } else if (SnapshotFile.isSnapshot(file)) {
        snapshots.add(file);
      }
    }
    HardState hardState = HardStateFile.read(files, folder);
    Optional<Snapshot> snapshot = Optional.empty();
    if (!snapshots.isEmpty()) {
      snapshot = Optional.of(SnapshotFile.read(files, snapshots.remove(snapshots.size() - 1)));
      deleteAll(snapshots);
    }
    if (segments.isEmpty()) {
      throw missingLog();
    }
    long snapshotIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
    List<StoredEntry> storedEntries = log.load(segments, snapshotIndex);
    boolean isInitialVoter = identity.replicaId().endsWith(ReplicaFolder.INITIAL_VOTER_SUFFIX);
    if (isInitialVoter && snapshotIndex == 0 && storedEntries.isEmpty()) {
      throw missingLog();
    }
    List<StoredEntry> entries = reconcile(snapshot, storedEntries);
    EventLogger.log(
        StorageEvent.LOADED,
        hardState.term(),
        snapshot.map(Snapshot::lastIndex).orElse(0L),
        entries.size());
    return new RecoveredState(hardState, snapshot, entries);
  }

  @Override
  public void write(List<StorageWrite> writes) throws IOException {
    requireNonNull(writes, "writes is null");
    if (failed) {
      throw new IOException("an earlier write or sync failed; the replica must be restarted");
    }
    failed = true;
    writeHardState(writes);
    List<LogEntry> entries = new ArrayList<>();
    for (StorageWrite write : writes) {
      if (write.snapshot().isPresent() || write.truncateFrom() > 0) {
        log.append(entries);
        entries.clear();
        writeSnapshot(write);
        if (write.truncateFrom() > 0) {
          log.truncateFrom(write.truncateFrom());
        }
      }
      entries.addAll(write.entries());
    }
    log.append(entries);
    log.sync();
    failed = false;
  }

  @Override
  public void close() throws IOException {
    try {
      log.close();
    } finally {
      lock.close();
    }
  }

  // Stores only the latest term and vote: no message that depends on an earlier one has been sent.
  private void writeHardState(List<StorageWrite> writes) throws IOException {
    for (int i = writes.size() - 1; i >= 0; i--) {
      Optional<HardState> state = writes.get(i).hardState();
      if (state.isPresent()) {
        HardStateFile.write(files, folder, state.get());
        return;
      }
    }
  }

  private void writeSnapshot(StorageWrite write) throws IOException {
    if (write.snapshot().isEmpty()) {
      return;
    }
    Snapshot snapshot = write.snapshot().get();
    Path snapshotFile = SnapshotFile.write(files, folder, snapshot);
    if (write.replacesLog()) {
      log.reset(snapshot.lastIndex() + 1);
    } else {
      log.roll();
      log.compactTo(write.compactTo());
    }
    deleteAll(
        files.list(folder).stream()
            .filter(file -> SnapshotFile.isSnapshot(file) && !file.equals(snapshotFile))
            .toList());
    EventLogger.log(StorageEvent.SNAPSHOT_WRITTEN, snapshot.lastIndex(), snapshot.data().size());
  }

  private List<StoredEntry> reconcile(Optional<Snapshot> snapshot, List<StoredEntry> entries)
      throws IOException {
    long snapshotIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
    long lastLogIndex = entries.isEmpty() ? 0 : entries.get(entries.size() - 1).index();
    boolean continuesSnapshot =
        snapshot.isEmpty()
            || (lastLogIndex >= snapshotIndex
                && (entries.get(0).index() > snapshotIndex
                    || entries.get((int) (snapshotIndex - entries.get(0).index())).term()
                        == snapshot.get().lastTerm()));
    if (!entries.isEmpty() && continuesSnapshot) {
      return entries;
    }
    // The log is empty, or the process stopped between storing a snapshot that replaces the log and
    // removing the old log.
    log.reset(snapshotIndex + 1);
    return List.of();
  }

  // The log is created before the identity, so a folder with only an identity has lost entries.
  private DamagedFileException missingLog() {
    return new DamagedFileException(folder, 0, "the log is missing; replace this replica");
  }

  private void deleteAll(List<Path> obsoleteFiles) throws IOException {
    for (Path file : obsoleteFiles) {
      files.delete(file);
    }
  }
}
