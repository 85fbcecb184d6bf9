package org.hickoryspar.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.node.settings.Settings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs the simulated platform as a process. */
public final class PlatformMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--http", required = true, metaVar = "IP:PORT", usage = "address to listen on")
  private String httpAddress = "";

  @Option(name = "--workers", metaVar = "N", usage = "number of workers")
  private int workerCount = 30;

  @Option(name = "--workers-per-rack", metaVar = "N", usage = "number of workers in each rack")
  private int workersPerRack = 8;

  @Option(
      name = "--data-centres",
      metaVar = "A,B,C",
      usage = "data centres, assigned to the racks in turn")
  private String dataCentres = "brest-a,quimper-a,rennes-a";

  @Option(name = "--cores", metaVar = "N", usage = "cores of each worker")
  private int cores = 32;

  @Option(name = "--memory-megabytes", metaVar = "N", usage = "memory of each worker in megabytes")
  private int memoryMegabytes = 128_000;

  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  private int accelerators = 8;

  private PlatformMain() {}

  /**
   * Serves the platform until the process is terminated.
   *
   * @param arguments command line options
   * @throws Exception if the address cannot be bound
   */
  public static void main(String[] arguments) throws Exception {
    PlatformMain main = new PlatformMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(EXIT_USAGE);
    }
    SimulatedPlatform platform =
        new SimulatedPlatform(main.createWorkers(), () -> System.nanoTime() / 1_000_000);
    PlatformServer server =
        new PlatformServer(platform, new ObjectMapper(), Settings.socketAddress(main.httpAddress));
    int port = server.start();
    System.out.println("simulated platform listening on port " + port);
  }

  private List<WorkerState> createWorkers() {
    String[] dataCentreNames = dataCentres.split(",", -1);
    ResourceVector capacity = new ResourceVector(cores, memoryMegabytes, accelerators);
    List<WorkerState> workers = new ArrayList<>();
    for (int i = 0; i < workerCount; i++) {
      int rack = i / workersPerRack;
      String dataCentre = dataCentreNames[rack % dataCentreNames.length];
      workers.add(
          new WorkerState(
              String.format("w%04d", i), dataCentre + "-r" + rack, dataCentre, capacity, true));
    }
    return workers;
  }
}
