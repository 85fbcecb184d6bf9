package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Opens the folder of a replica when its process starts. A folder that cannot be written, because
 * its disk is full or an earlier process still holds it, is tried again until it can be: a process
 * that ended instead would only be started again.
 */
public final class FolderOpener {

  private static final long RETRY_DELAY_MILLIS = 250;

  private final ReplicaFolder folder;
  private final Sleeper sleeper;

  /**
   * Creates an opener that has not tried yet.
   *
   * @param folder the folder
   * @param sleeper waits between two tries
   */
  public FolderOpener(ReplicaFolder folder, Sleeper sleeper) {
    this.folder = requireNonNull(folder, "folder is null");
    this.sleeper = requireNonNull(sleeper, "sleeper is null");
  }

  /**
   * Opens the folder.
   *
   * @param initialInstances the first voters if the folder is to be initialised when it is empty;
   *     otherwise empty
   * @param random source of a new replica id, not seeded
   * @return the storage, which keeps the folder locked
   * @throws IOException if the folder is damaged, belongs to another replica, or the thread is
   *     interrupted while the folder cannot be written
   */
  public FileLogStorage open(List<String> initialInstances, RandomGenerator random)
      throws IOException {
    Result<FileLogStorage> opened = tryOpen(initialInstances, random);
    if (isNotWritable(opened.problem())) {
      EventLogger.log(StorageEvent.WAITING, opened.problem().orElseThrow().message());
      int attempts = 1;
      while (isNotWritable(opened.problem())) {
        sleepBeforeRetry();
        opened = tryOpen(initialInstances, random);
        attempts++;
      }
      EventLogger.log(StorageEvent.WAITING_OVER, attempts);
    }
    return opened.getOrElseThrow(problem -> new IOException(problem.message()));
  }

  private Result<FileLogStorage> tryOpen(List<String> initialInstances, RandomGenerator random) {
    if (!initialInstances.isEmpty()) {
      // Refused when an earlier process of the first start has initialised the folder already.
      Optional<Problem> problem = folder.initialise(initialInstances).problem();
      if (isNotWritable(problem)) {
        return Result.failure(problem.get());
      }
    }
    return folder.open(random);
  }

  private static boolean isNotWritable(Optional<Problem> problem) {
    return problem.filter(p -> p.code().equals(ReplicaFolder.NOT_WRITABLE)).isPresent();
  }

  private void sleepBeforeRetry() throws IOException {
    try {
      sleeper.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while the folder cannot be written", e);
    }
  }

  /** Lets time pass. */
  @FunctionalInterface
  public interface Sleeper {

    /**
     * Waits.
     *
     * @param millis for how long
     * @throws InterruptedException if the thread is interrupted
     */
    void sleep(long millis) throws InterruptedException;
  }
}
