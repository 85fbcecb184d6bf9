package org.hickoryspar.node.cli;

import java.io.File;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Runs the entry daemon until the process receives SIGTERM. */
final class EntryCommand extends Command {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings as JSON")
  private @Nullable File settings;

  @Override
  String summary() {
    return "Runs the entry daemon of this instance.";
  }

  @Override
  ExitCode run(Console console) throws Exception {
    return new DaemonRunner(console).run("entry", settings, false);
  }
}
