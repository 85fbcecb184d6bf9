package org.hickoryspar.node.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.hickoryspar.node.storage.FaultyFileOperations.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FolderOpenerTest {

  private static final List<String> VOTERS = List.of("c1", "c2", "c3");

  private final AtomicInteger sleeps = new AtomicInteger();
  private FaultyFileOperations files;
  private Path folderPath;

  @BeforeMethod
  void createFolder() throws IOException {
    folderPath = Files.createTempDirectory("folder-opener");
    files = new FaultyFileOperations();
    sleeps.set(0);
  }

  @AfterMethod(alwaysRun = true)
  void deleteFolder() throws IOException {
    MoreFiles.deleteRecursively(folderPath, RecursiveDeleteOption.ALLOW_INSECURE);
  }

  /**
   * Guards against a process that exits and is restarted repeatedly while its disk is full, and
   * against an initial voter that later starts with a replica identifier unknown to the other
   * voters.
   */
  @Test
  public void shouldInitialiseFolderWhenSpaceBecomesAvailable() throws IOException {
    files.failAfter(Fault.DISK_FULL, 0);

    try (FileLogStorage storage = createOpener("c1", 3).open(VOTERS, new SplittableRandom(1))) {
      assertEquals(storage.identity().replicaId(), "c1/1");
      assertEquals(sleeps.get(), 3);
    }
  }

  /** Guards against endless retries of a permanent failure. */
  @Test
  public void shouldFailWithoutRetryWhenFolderBelongsToAnotherInstance() throws IOException {
    createOpener("c1", 0).open(VOTERS, new SplittableRandom(1)).close();

    IOException failure = null;
    try {
      createOpener("c2", 0).open(List.of(), new SplittableRandom(1)).close();
    } catch (IOException e) {
      failure = e;
    }

    assertTrue(failure != null && failure.getMessage().contains("belongs to instance c1"));
    assertEquals(sleeps.get(), 0);
  }

  /** Guards against a process that cannot be stopped while it waits for its folder. */
  @Test
  public void shouldStopRetryingWhenInterrupted() {
    files.failAfter(Fault.DISK_FULL, 0);
    FolderOpener opener =
        new FolderOpener(
            folder("c1"),
            millis -> {
              throw new InterruptedException();
            });

    assertThrows(IOException.class, () -> opener.open(VOTERS, new SplittableRandom(1)));
    assertTrue(Thread.interrupted());
  }

  private FolderOpener createOpener(String instance, int sleepsUntilSpace) {
    return new FolderOpener(
        folder(instance),
        millis -> {
          if (sleeps.incrementAndGet() == sleepsUntilSpace) {
            files.failAfter(Fault.KILL, Integer.MAX_VALUE);
          }
        });
  }

  private ReplicaFolder folder(String instance) {
    return new ReplicaFolder(files, folderPath, "test", instance);
  }
}
