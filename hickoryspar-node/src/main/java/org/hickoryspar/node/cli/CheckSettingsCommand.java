package org.hickoryspar.node.cli;

import java.io.File;
import java.nio.file.Path;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.settings.FleetLoader;
import org.hickoryspar.node.settings.SettingsLoader;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;

/** Checks a settings file or a fleet document without a server. */
final class CheckSettingsCommand extends Command {

  @Argument(required = true, metaVar = "FILE", usage = "settings or fleet document as JSON")
  private @Nullable File file;

  @Override
  String summary() {
    return "Checks a settings file or a fleet document.";
  }

  @Override
  ExitCode run(Console console) {
    if (file == null) {
      return console.fail(ExitCode.USAGE, "FILE is missing");
    }
    Path path = file.toPath();
    FleetLoader fleet = new FleetLoader();
    Result<String> result =
        fleet
            .isFleetDocument(path)
            .flatMap(
                isFleet ->
                    isFleet
                        ? fleet.load(path).map(document -> "valid fleet document")
                        : new SettingsLoader().load(path).map(settings -> "valid settings"));
    return result.fold(
        problem -> {
          problem.message().lines().forEach(console.err()::println);
          return ExitCode.REFUSED;
        },
        kind -> {
          console.out().println(path + ": " + kind);
          return ExitCode.DONE;
        });
  }
}
