package org.hickoryspar.bench;

import com.google.common.base.Splitter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;
import org.openjdk.jmh.results.format.ResultFormatType;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Runs {@link DecideBenchmark} under JMH. */
public final class JmhCommand implements Command {

  @Option(name = "--schedulers", usage = "SCHEDULER[:POLICY],...")
  private String schedulers = "first-fit";

  @Option(name = "--workers", usage = "numbers of workers")
  private String workers = "30,120,480,1700";

  @Option(name = "--seconds", usage = "seconds of each of the 3 warm-up and 5 measured iterations")
  private int seconds = 2;

  @Option(name = "--output", usage = "directory for the JSON results")
  private String output = "hickoryspar-bench/target/reports";

  /** Creates the command with default options. */
  public JmhCommand() {}

  @Override
  public int run() throws Exception {
    Path directory = Files.createDirectories(Path.of(output));
    new Runner(
            new OptionsBuilder()
                .include(DecideBenchmark.class.getName())
                .param("scheduler", splitAtCommas(schedulers))
                .param("workers", splitAtCommas(workers))
                .forks(1)
                .jvmArgs("-Xmx2g")
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(seconds))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(seconds))
                .resultFormat(ResultFormatType.JSON)
                .result(directory.resolve("jmh-decide.json").toString())
                .build())
        .run();
    return 0;
  }

  private static String[] splitAtCommas(String text) {
    return Splitter.on(',').splitToList(text).toArray(new String[0]);
  }
}
