package org.hickoryspar.node.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.kernel.replication.HardState;
import org.hickoryspar.kernel.replication.RecoveredState;
import org.hickoryspar.kernel.replication.Snapshot;
import org.hickoryspar.kernel.replication.StorageWrite;
import org.hickoryspar.kernel.replication.StoredEntry;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.storage.FaultyFileOperations.Fault;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FileLogStorageTest {

  private static final List<String> INSTANCES = List.of("a", "b", "c");

  private Path root;
  private Path folder;
  private FaultyFileOperations files;

  @BeforeMethod
  void createRoot() throws IOException {
    root = Files.createTempDirectory("storage");
    createFolder();
  }

  @AfterMethod(alwaysRun = true)
  void deleteRoot() throws IOException {
    MoreFiles.deleteRecursively(root, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  private void createFolder() throws IOException {
    folder = Files.createTempDirectory(root, "replica");
    files = new FaultyFileOperations();
    assertTrue(folder("a").initialise(INSTANCES).isSuccess());
  }

  // -- load

  /** Guards against an interrupted write that makes a replica unusable or loses earlier records. */
  @Test
  public void shouldTruncateLastRecordWhenItIsIncomplete() throws IOException {
    writeEntries(2, 5);
    Path segment = segment();
    byte[] intact = Files.readAllBytes(segment);
    int lastRecordOffset = offsets(intact).get(4);
    for (int size = lastRecordOffset; size <= intact.length; size++) {
      Files.write(segment, Arrays.copyOf(intact, size));
      int kept = size == intact.length ? 5 : 4;
      assertEquals(load().entries().size(), kept, "truncated at " + size);
      try (FileLogStorage storage = open()) {
        storage.load();
        storage.write(List.of(append(1, entry(kept + 1, 2))));
      }
      assertEquals(load().entries().size(), kept + 1, "appended after a truncation at " + size);
    }
  }

  /**
   * Guards against acknowledged records that are truncated because a damaged record is taken for an
   * incomplete one at the end of the log.
   */
  @Test
  public void shouldReportFileAndOffsetWhenBitIsFlipped() throws IOException {
    writeEntries(2, 5);
    Path segment = segment();
    byte[] intact = Files.readAllBytes(segment);
    List<Integer> offsets = offsets(intact);
    for (int at = 0; at < intact.length; at++) {
      byte[] damaged = intact.clone();
      damaged[at] ^= (byte) (1 << (at % 8));
      Files.write(segment, damaged);
      int position = at;
      int recordOffset =
          offsets.stream().filter(o -> o <= position).reduce((x, y) -> y).orElseThrow();
      DamagedFileException e = expectThrows(DamagedFileException.class, this::load);
      assertTrue(
          e.getMessage().contains(segment + " is damaged at offset " + recordOffset + ":"),
          e.getMessage());
    }
  }

  @DataProvider
  Object[][] filePrefixes() {
    return new Object[][] {{"term"}, {"snapshot-"}, {"log-"}};
  }

  /** Guards against a replica that votes again after part of its folder was lost or damaged. */
  @Test(dataProvider = "filePrefixes")
  public void shouldRejectFolderWhenFileIsDamagedOrMissing(String prefix) throws IOException {
    writeEntries(2, 5);
    try (FileLogStorage storage = open()) {
      storage.load();
      storage.write(List.of(snapshot(4, 0, false)));
      storage.write(List.of(append(1, entry(6, 2))));
      storage.write(List.of(snapshot(5, 5, false)));
    }
    Path file = file(prefix);
    byte[] bytes = Files.readAllBytes(file);
    bytes[bytes.length - 1] ^= 1;
    Files.write(file, bytes);
    expectThrows(DamagedFileException.class, this::load);
    Files.delete(file);
    if (prefix.equals("term")) {
      assertEquals(
          problemCode(folder("a").open(RandomGenerator.getDefault())), "folder-incomplete");
    } else {
      expectThrows(DamagedFileException.class, this::load);
    }
  }

  /** Guards against a restart that runs out of memory because the log exceeds it. */
  @Test
  public void shouldReadLargeEntriesFromDiskWhenTheyAreNeeded() throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    for (int index = 2; index < 40; index++) {
      byte[] command = new byte[index % 2 == 0 ? SegmentEntry.LARGE_ENTRY_BYTES : 10];
      Arrays.fill(command, (byte) index);
      entries.add(
          LogEntry.newBuilder()
              .setIndex(index)
              .setTerm(2)
              .setCommand(ByteString.copyFrom(command))
              .build());
    }
    try (FileLogStorage storage = open()) {
      storage.load();
      storage.write(List.of(append(1, entries.toArray(LogEntry[]::new))));
    }
    RecoveredState state = load();
    assertEquals(
        state.entries().stream().filter(SegmentEntry.class::isInstance).count(),
        entries.stream().filter(entry -> entry.getIndex() % 2 == 0).count());
    assertEquals(state.readEntries().subList(1, 39), entries);
    for (int i = 1; i < 39; i++) {
      StoredEntry stored = state.entries().get(i);
      assertEquals(stored.index(), i + 1);
      assertEquals(stored.term(), 2);
      assertEquals(stored.sizeBytes(), entries.get(i - 1).getSerializedSize());
    }
  }

  // -- write

  /** Guards against a segment that exceeds its limit because many large entries come at once. */
  @Test
  public void shouldStartNewSegmentsWhenBatchIsLarge() throws IOException {
    ByteString command = ByteString.copyFrom(new byte[1 << 20]);
    List<LogEntry> entries = new ArrayList<>();
    for (int index = 2; index < 22; index++) {
      entries.add(LogEntry.newBuilder().setIndex(index).setTerm(2).setCommand(command).build());
    }
    try (FileLogStorage storage = open()) {
      storage.load();
      storage.write(List.of(append(1, entries.toArray(LogEntry[]::new))));
    }
    for (Path file : files.list(folder)) {
      long limitBytes = SegmentedLog.SEGMENT_BYTES + (2 << 20);
      assertTrue(Files.size(file) <= limitBytes, file + " has " + Files.size(file) + " bytes");
    }
    assertEquals(load().readEntries().subList(1, 21), entries);
  }

  @DataProvider
  Object[][] writes() {
    List<Object[]> rows = new ArrayList<>();
    for (Fault fault : Fault.values()) {
      rows.add(new Object[] {"append", fault, append(1, entry(6, 2), entry(7, 2)), 5});
      rows.add(new Object[] {"vote", fault, write(1, new HardState(3, "b/1"), 0), 5});
      rows.add(new Object[] {"conflict", fault, write(1, new HardState(3, ""), 4, entry(4, 3)), 3});
      rows.add(new Object[] {"compaction", fault, snapshot(5, 3, false), 5});
      rows.add(new Object[] {"installed snapshot", fault, snapshot(20, 0, true), 5});
    }
    return rows.toArray(Object[][]::new);
  }

  /** Guards against the loss of synced state when a later write fails at any of its steps. */
  @Test(dataProvider = "writes")
  public void shouldKeepSyncedStateWhenStepFails(
      String name, Fault fault, StorageWrite write, int keptEntries) throws IOException {
    for (int step = 0; ; step++) {
      createFolder();
      writeEntries(2, 3);
      FileLogStorage storage = open();
      storage.load();
      storage.write(List.of(append(1, entry(4, 2), entry(5, 2))));
      files.failAfter(fault, step);
      try {
        storage.write(List.of(write));
      } catch (IOException e) {
        expectThrows(IOException.class, () -> storage.write(List.of(append(2, entry(9, 2)))));
      }
      boolean fired = files.hasFired();
      files.failAfter(fault, Integer.MAX_VALUE);
      storage.close();
      RecoveredState state = load();
      assertEquals(load(), state, "a second load must return the same state");
      checkRetained(name + ", " + fault + " at step " + step, state, write, keptEntries);
      if (!fired) {
        assertTrue(fault != Fault.KILL || step > 1, "the fault must occur in several steps");
        return;
      }
    }
  }

  private static void checkRetained(
      String where, RecoveredState state, StorageWrite write, int keptEntries) {
    long snapshot = state.snapshot().map(Snapshot::lastIndex).orElse(0L);
    long last = state.readEntries().stream().mapToLong(LogEntry::getIndex).max().orElse(0);
    assertTrue(Math.max(last, snapshot) >= keptEntries, where);
    assertTrue(
        List.of(new HardState(1, ""), write.hardState().orElse(new HardState(1, "")))
            .contains(state.hardState()),
        where);
    for (LogEntry entry : state.readEntries()) {
      long term = entry.getIndex() == 1 ? 1 : 2;
      assertTrue(entry.getTerm() == term || write.entries().contains(entry), where);
    }
  }

  // -- ReplicaFolder

  @DataProvider
  Object[][] owners() {
    return new Object[][] {{"test", "b"}, {"other", "a"}};
  }

  /** Guards against a replica that uses the data of another replica. */
  @Test(dataProvider = "owners")
  public void shouldRejectFolderWhenItBelongsToAnotherReplica(String cluster, String instance) {
    Result<FileLogStorage> opened =
        new ReplicaFolder(files, folder, cluster, instance).open(RandomGenerator.getDefault());
    assertEquals(problemCode(opened), "foreign-folder");
  }

  /** Guards against a replica that starts although it cannot write to its folder. */
  @Test
  public void shouldRejectFolderWhenItIsNotWritable() throws IOException {
    files.failAfter(Fault.DISK_FULL, 0);
    assertEquals(
        problemCode(folder("a").open(RandomGenerator.getDefault())), "folder-not-writable");
    files.failAfter(Fault.KILL, Integer.MAX_VALUE);
    try (FileLogStorage storage = open()) {
      assertEquals(
          problemCode(folder("a").open(RandomGenerator.getDefault())), "folder-not-writable");
      assertEquals(storage.identity().replicaId(), "a/1");
    }
  }

  /**
   * Guards against a replica that restarts after the loss of its disk under an identity that has
   * already voted.
   */
  @Test
  public void shouldCreateNewIdentityWhenFolderIsEmpty() throws IOException {
    assertEquals(problemCode(folder("a").initialise(INSTANCES)), "folder-not-empty");
    folder = Files.createTempDirectory(root, "replica");
    String first;
    try (FileLogStorage storage = open()) {
      first = storage.identity().replicaId();
      assertEquals(storage.load(), RecoveredState.empty());
    }
    assertFalse(first.equals("a/1"), first);
    try (FileLogStorage storage = open()) {
      assertEquals(storage.identity().replicaId(), first);
    }
  }

  /** Guards against a folder that an interrupted initialisation leaves unusable. */
  @Test
  public void shouldInitialiseAgainAfterInterruption() throws IOException {
    for (int step = 0; ; step++) {
      folder = Files.createTempDirectory(root, "replica");
      files.failAfter(Fault.KILL, step);
      boolean done = folder("a").initialise(INSTANCES).isSuccess();
      files.failAfter(Fault.KILL, Integer.MAX_VALUE);
      if (done) {
        assertTrue(step > 5);
        return;
      }
      Result<ReplicaIdentity> again = folder("a").initialise(INSTANCES);
      // The identity file may have been renamed just before the process was killed.
      assertTrue(
          again.isSuccess() || problemCode(again).equals("folder-not-empty"), again.toString());
      RecoveredState state = load();
      assertEquals(state.hardState(), new HardState(1, ""));
      assertEquals(
          state.readEntries().get(0).getMembership().getVotersList(), List.of("a/1", "b/1", "c/1"));
    }
  }

  private ReplicaFolder folder(String instance) {
    return new ReplicaFolder(files, folder, "test", instance);
  }

  private FileLogStorage open() {
    return folder("a")
        .open(RandomGenerator.getDefault())
        .fold(
            problem -> {
              throw new IllegalStateException(problem.toString());
            },
            storage -> storage);
  }

  private RecoveredState load() throws IOException {
    try (FileLogStorage storage = open()) {
      return storage.load();
    }
  }

  private void writeEntries(int from, int to) throws IOException {
    try (FileLogStorage storage = open()) {
      storage.load();
      for (int i = from; i <= to; i++) {
        storage.write(List.of(append(i, entry(i, 2))));
      }
    }
  }

  private Path segment() throws IOException {
    return file("log-");
  }

  private Path file(String prefix) throws IOException {
    return files.list(folder).stream()
        .filter(f -> f.getFileName().toString().startsWith(prefix))
        .findFirst()
        .orElseThrow();
  }

  private static List<Integer> offsets(byte[] bytes) throws IOException {
    return RecordFormat.decode(Path.of("any"), bytes, 1, true).offsets();
  }

  private static LogEntry entry(long index, long term) {
    return LogEntry.newBuilder()
        .setIndex(index)
        .setTerm(term)
        .setCommand(ByteString.copyFromUtf8("command " + index))
        .build();
  }

  private static StorageWrite append(long sequence, LogEntry... entries) {
    return new StorageWrite(
        sequence, Optional.empty(), Optional.empty(), false, 0, 0, List.of(entries));
  }

  private static StorageWrite write(
      long sequence, HardState state, long truncateFrom, LogEntry... entries) {
    return new StorageWrite(
        sequence, Optional.of(state), Optional.empty(), false, 0, truncateFrom, List.of(entries));
  }

  private static StorageWrite snapshot(long index, long compactTo, boolean replacesLog) {
    Snapshot snapshot =
        new Snapshot(
            index,
            2,
            Membership.newBuilder().addVoters("a/1").build(),
            ByteString.copyFromUtf8("state"));
    return new StorageWrite(
        1, Optional.empty(), Optional.of(snapshot), replacesLog, compactTo, 0, List.of());
  }

  private static String problemCode(Result<?> result) {
    return result.problem().map(p -> p.code()).orElse("none");
  }
}
