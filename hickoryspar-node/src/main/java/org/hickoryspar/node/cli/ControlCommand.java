package org.hickoryspar.node.cli;

import java.io.File;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Runs the control daemon until the process receives SIGTERM. */
final class ControlCommand extends Command {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings as JSON")
  private @Nullable File settings;

  @Option(
      name = "--initialise",
      usage = "create a new cluster; only on the first start and only on an empty data folder")
  private boolean initialise;

  @Override
  String summary() {
    return "Runs the control daemon of this instance.";
  }

  @Override
  ExitCode run(Console console) throws Exception {
    return new DaemonRunner(console).run("control", settings, initialise);
  }
}
