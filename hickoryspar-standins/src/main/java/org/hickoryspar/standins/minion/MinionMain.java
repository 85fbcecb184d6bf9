package org.hickoryspar.standins.minion;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs a stub minion as a process. */
public final class MinionMain {

  @Option(name = "--id", required = true, usage = "identifier of the minion")
  private String id = "";

  @Option(name = "--service", required = true, usage = "service that the minion serves")
  private String service = "";

  @Option(name = "--data-centre", required = true, usage = "data centre that the minion announces")
  private String dataCentre = "";

  @Option(name = "--host", usage = "IP address to listen on")
  private String host = "127.0.0.1";

  @Option(name = "--port", usage = "port to listen on, 0 for a free port")
  private int port;

  @Option(name = "--entry", usage = "IP:PORT of an entry; may be repeated")
  private List<String> entries = new ArrayList<>();

  @Option(name = "--token", usage = "bearer token for announcements")
  private String token = "";

  @Option(name = "--ttl-millis", usage = "lifetime of an announcement in milliseconds")
  private int ttlMillis = 10_000;

  private MinionMain() {}

  /**
   * Starts a minion and prints {@code listening on PORT} once it serves.
   *
   * @param arguments command line options
   * @throws IOException if the port cannot be bound
   */
  public static void main(String[] arguments) throws IOException {
    MinionMain main = new MinionMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      parser.printUsage(System.err);
      System.exit(2);
    }
    main.run();
  }

  private void run() throws IOException {
    // The start time increases with each restart, so it serves as the incarnation.
    long incarnation = System.currentTimeMillis();
    MinionOptions options =
        new MinionOptions(
            id, service, dataCentre, host, port, entries, token, incarnation, ttlMillis);
    MinionServer minion = new MinionServer(options, () -> Runtime.getRuntime().halt(1));
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  minion.leave().exceptionally(failure -> 0).join();
                  minion.close();
                }));
    minion.start();
    System.out.println("listening on " + minion.port());
  }
}
