package org.hickoryspar.bench.workflow;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.bench.Command;
import org.hickoryspar.kernel.dispatch.DispatchEventKind;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * Simulates workflows on minions and prints one JSON object per run and line: the earned share of
 * the credit, violated invariants, wasted work and decision times. The exit status is 1 if an
 * invariant was violated.
 */
public final class WorkflowsCommand implements Command {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DRAIN_MILLIS = 60_000;

  @Option(name = "--deployment", usage = "archive, fountains, archive-grown or fountains-grown")
  private String deployment = "archive";

  @Option(
      name = "--scale",
      usage = "factor of the load and of the fleet, which has 33 minions, or 246 if grown")
  private double scale = 1;

  @Option(name = "--load", usage = "factor of the load only")
  private double load = 1;

  @Option(name = "--burst", usage = "factor of the load of priority 0 in the first 6 seconds")
  private double burst = 1;

  @Option(name = "--seconds", usage = "duration of the arrivals in seconds")
  private int seconds = 35;

  @Option(name = "--seeds", usage = "number of runs")
  private int seeds = 5;

  @Option(name = "--first-seed", usage = "seed of the first run")
  private long firstSeed = 1;

  @Option(name = "--faults", usage = "number of faults per run, at random times")
  private int faults;

  @Option(name = "--fault", usage = "restricts faults to this kind")
  private @Nullable Fault fault;

  @Option(
      name = "--trace",
      usage = "prints the events whose kind, subject or details contain this text")
  private String trace = "";

  /** Creates the command with default options. */
  public WorkflowsCommand() {}

  @Override
  public int run() throws Exception {
    PrintStream out = System.out;
    WorkflowDeployment scaledDeployment = WorkflowDeployment.named(deployment).scaledBy(scale);
    Set<Fault> kinds = fault == null ? EnumSet.allOf(Fault.class) : EnumSet.of(fault);
    int violations = 0;
    double earnedSum = 0;
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      WorkflowSimulation simulation =
          new WorkflowSimulation(
              scaledDeployment,
              seed,
              load,
              burst,
              seconds * MILLIS_PER_SECOND,
              DRAIN_MILLIS,
              this::print);
      simulation.scheduleFaults(kinds, faults);
      WorkflowResult result = simulation.run();
      violations += result.violations().size();
      earnedSum += result.earnedShare();
      out.println(toJson(seed, result));
    }
    out.printf("mean earned %.4f, promises broken %d%n", earnedSum / seeds, violations);
    return violations == 0 ? 0 : 1;
  }

  private void print(DispatchEventKind kind, String subject, Object... details) {
    String text = kind + " " + subject + ' ' + Arrays.toString(details);
    if (!trace.isEmpty() && text.contains(trace)) {
      System.err.println(text);
    }
  }

  private static ObjectNode toJson(long seed, WorkflowResult result) {
    ObjectNode line = new ObjectMapper().createObjectNode().put("seed", seed);
    line.put("earned", round(result.earnedShare()));
    for (Map.Entry<String, WorkflowResult.KindResult> kind : result.kinds().entrySet()) {
      line.putObject(kind.getKey())
          .put("count", kind.getValue().count())
          .put("inTime", kind.getValue().inTime())
          .put("late", kind.getValue().late())
          .put("earned", round(kind.getValue().earnedShare()));
    }
    line.put("wastedCoreSeconds", result.wastedCoreSeconds());
    ObjectNode waste = line.putObject("waste");
    result
        .wasteByKindAndCause()
        .forEach((cause, coreSeconds) -> waste.put(cause, Math.round(coreSeconds)));
    line.put("meanDecisionMicros", result.meanDecisionMicros());
    line.put("maxDecisionMicros", result.maxDecisionMicros());
    result.violations().stream().limit(5).forEach(line.withArray("broken")::add);
    return line;
  }

  private static double round(double share) {
    return Math.round(share * 1_000) / 1_000.0;
  }
}
