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

/** The stand-in platform as a process. */
public final class PlatformMain {

  private static final int EXIT_USAGE = 2;

  @Option(name = "--http", required = true, metaVar = "IP:PORT", usage = "address to serve")
  private String http = "";

  @Option(name = "--workers", metaVar = "N", usage = "number of workers")
  private int workers = 30;

  @Option(name = "--workers-per-rack", metaVar = "N", usage = "workers in each rack")
  private int workersPerRack = 8;

  @Option(
      name = "--data-centres",
      metaVar = "A,B,C",
      usage = "data centres, filled in turn by rack")
  private String dataCentres = "brest-a,quimper-a,rennes-a";

  @Option(name = "--cores", metaVar = "N", usage = "cores of each worker")
  private int cores = 32;

  @Option(name = "--memory-megabytes", metaVar = "N", usage = "memory of each worker")
  private int memoryMegabytes = 128_000;

  @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of each worker")
  private int accelerators = 8;

  private PlatformMain() {}

  /**
   * Runs the stand-in until the process is stopped.
   *
   * @param arguments command line
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
        new SimulatedPlatform(main.fleet(), () -> System.nanoTime() / 1_000_000);
    PlatformServer server =
        new PlatformServer(platform, new ObjectMapper(), Settings.socketAddress(main.http));
    int port = server.start();
    System.out.println("platform stand-in listening on port " + port);
  }

  private List<WorkerState> fleet() {
    String[] places = dataCentres.split(",", -1);
    ResourceVector capacity = new ResourceVector(cores, memoryMegabytes, accelerators);
    List<WorkerState> fleet = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      int rack = i / workersPerRack;
      String place = places[rack % places.length];
      fleet.add(
          new WorkerState(String.format("w%04d", i), place + "-r" + rack, place, capacity, true));
    }
    return fleet;
  }
}
