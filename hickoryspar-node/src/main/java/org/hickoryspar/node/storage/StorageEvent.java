package org.hickoryspar.node.storage;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the storage. */
enum StorageEvent implements LogEvent {
  INITIALISED(
      2000, Level.INFO, "initialised the data folder of replica %s with the initial voters %s"),
  EMPTY_FOLDER(
      2001, Level.WARNING, "data folder %s is empty; replica %s waits to be added as a learner"),
  LOADED(2002, Level.INFO, "loaded term %d, snapshot at index %d and %d log entries"),
  SNAPSHOT_WRITTEN(2003, Level.INFO, "wrote the snapshot at index %d (%d bytes)"),
  CLOSE_FAILED(2004, Level.WARNING, "failed to close the lock file of the data folder"),
  CACHE_DAMAGED(2005, Level.INFO, "cache file %s is damaged and is ignored"),
  WAITING(2006, Level.WARNING, "the data folder is not writable; retrying: %s"),
  WAITING_OVER(2007, Level.INFO, "the data folder is writable after %d attempts");

  private final int number;

  // Level is immutable but lacks the annotation.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Level level;

  private final String template;

  StorageEvent(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String template() {
    return template;
  }
}
