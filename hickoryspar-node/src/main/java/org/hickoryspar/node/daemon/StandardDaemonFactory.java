package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import org.hickoryspar.node.cli.DaemonFactory;
import org.hickoryspar.node.settings.Settings;

/** Starts the daemons of a cluster whose settings list the instances. */
public final class StandardDaemonFactory implements DaemonFactory {

  /** Creates a factory; called by {@code ServiceLoader}. */
  public StandardDaemonFactory() {}

  @Override
  public AutoCloseable start(String kind, Settings settings, boolean initialise)
      throws IOException {
    requireNonNull(kind, "kind is null");
    requireNonNull(settings, "settings is null");
    return switch (kind) {
      case "entry" -> EntryAssembly.start(settings);
      case "control" -> ControlAssembly.start(settings, initialise);
      default -> throw new IllegalArgumentException("unknown kind of daemon: " + kind);
    };
  }
}
