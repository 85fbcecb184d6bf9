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
 * Opens the data folder of a replica when its process starts. Retries while the folder cannot be
 * written, because the disk is full or an earlier process still holds the lock: a process that
 * exited instead would only be restarted.
 */
public final class FolderOpener {

  private static final long RETRY_DELAY_MILLIS = 250;

  private final ReplicaFolder folder;
  private final Sleeper sleeper;

  /**
   * Creates an opener for a folder without opening it.
   *
   * @param folder the folder
   * @param sleeper waits between two attempts
   */
  public FolderOpener(ReplicaFolder folder, Sleeper sleeper) {
    this.folder = requireNonNull(folder, "folder is null");
    this.sleeper = requireNonNull(sleeper, "sleeper is null");
  }

  /**
   * Opens the folder and blocks until it can be written. Initialises an empty folder first if
   * initial instances are given.
   *
   * @param initialInstances identifiers of the instances whose replicas are the initial voters,
   *     empty if the folder must not be initialised
   * @param random source of a new replica identifier, which must not be seeded
   * @return the storage, which holds the lock on the folder until it is closed
   * @throws IOException if the folder is damaged or belongs to another replica, or if the thread is
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
      // Other failures are ignored: an earlier process of the first start may have initialised the
      // folder.
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
      throw new IOException("interrupted while waiting for the folder to become writable", e);
    }
  }

  /** Suspends the calling thread. */
  @FunctionalInterface
  public interface Sleeper {

    /**
     * Suspends the calling thread for a time.
     *
     * @param millis time to sleep
     * @throws InterruptedException if the thread is interrupted
     */
    void sleep(long millis) throws InterruptedException;
  }
}
