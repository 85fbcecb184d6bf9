package org.hickoryspar.node.cli;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.node.explain.LogReader;
import org.hickoryspar.node.explain.Timeline;
import org.kohsuke.args4j.Argument;

/** Prints the timeline of one workflow, task, run or minion from log files. */
final class ExplainCommand extends Command {

  @Argument(index = 0, required = true, metaVar = "ID", usage = "workflow, task, run or minion")
  private String id = "";

  @Argument(index = 1, required = true, metaVar = "FILE...", usage = "logs of any processes")
  private List<File> files = new ArrayList<>();

  @Override
  String summary() {
    return "Prints the timeline of one workflow, task, run or minion from log files.";
  }

  @Override
  ExitCode run(Console console) {
    LogReader reader = new LogReader();
    Timeline timeline = new Timeline(id);
    for (File file : files) {
      try {
        reader.read(file.toPath(), timeline::add);
      } catch (IOException e) {
        return console.fail(ExitCode.REFUSED, "cannot read " + file + ": " + e.getMessage());
      }
    }
    int subjectLines = timeline.writeTo(console.out()::println);
    if (reader.skipped() > 0) {
      console.err().println(reader.skipped() + " lines are not log lines and were skipped");
    }
    return subjectLines > 0
        ? ExitCode.DONE
        : console.fail(ExitCode.NOT_FOUND, "the files contain no lines about " + id);
  }
}
