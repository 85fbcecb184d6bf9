package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.net.UrlEscapers;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** A command that calls an entry or control daemon. */
abstract class ServerCommand extends Command {

  @Option(
      name = "--server",
      metaVar = "ADDRESS",
      usage = "IP:PORT or URL of an entry or control instance; default: HICKORYSPAR_SERVER")
  private String server = "";

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      usage = "file that holds the token; default: the token in HICKORYSPAR_TOKEN")
  private @Nullable File tokenFile;

  @Option(name = "--timeout-millis", metaVar = "N", usage = "timeout of a request; default: 10000")
  private long timeoutMillis = 10_000;

  @Option(name = "--output", metaVar = "text|json", usage = "format of the result; default: text")
  private OutputFormat output = OutputFormat.TEXT;

  /** Format in which results are printed. */
  enum OutputFormat {
    /** Lines and tables for operators. */
    TEXT,
    /** JSON for scripts. */
    JSON
  }

  /**
   * Runs the command.
   *
   * @param session console, client and output of this command
   * @return the exit code
   * @throws Exception if the command fails in an unexpected way
   */
  abstract ExitCode execute(Session session) throws Exception;

  @Override
  final ExitCode run(Console console) throws Exception {
    String address =
        server.isBlank() ? console.environment().getOrDefault("HICKORYSPAR_SERVER", "") : server;
    if (address.isBlank()) {
      return console.fail(ExitCode.USAGE, "no server: use --server or set HICKORYSPAR_SERVER");
    }
    URI uri;
    try {
      uri = URI.create(address.contains("://") ? address : "http://" + address);
    } catch (IllegalArgumentException e) {
      uri = URI.create("");
    }
    if (uri.getHost() == null || uri.getPort() < 1) {
      return console.fail(ExitCode.USAGE, "expected IP:PORT or a URL, found " + address);
    }
    String token;
    try {
      token = readToken(console);
    } catch (IOException e) {
      return console.fail(ExitCode.TOKEN, "cannot read the token: " + e);
    }
    try (ApiClient client = new ApiClient(uri, token, timeoutMillis)) {
      Output resultOutput = new Output(console.out(), output == OutputFormat.JSON);
      return execute(new Session(console, client, resultOutput));
    }
  }

  private String readToken(Console console) throws IOException {
    return tokenFile == null
        ? console.environment().getOrDefault("HICKORYSPAR_TOKEN", "")
        : Files.readString(tokenFile.toPath()).strip();
  }

  /** Escapes a name for use as a segment of a path. */
  static String escapeSegment(String name) {
    return UrlEscapers.urlPathSegmentEscaper().escape(name);
  }

  static ObjectNode newObject() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Sends a GET request, prints the result and returns the exit code. */
  static ExitCode getAndPrint(Session session, String path) throws InterruptedException {
    ApiResult result = session.client().send("GET", path, Map.of(), null);
    if (!result.isSuccess()) {
      return session.reportFailure(result);
    }
    session.output().print(result.body());
    return ExitCode.DONE;
  }

  /**
   * Console, client and output of one command.
   *
   * @param console streams and environment
   * @param client client of the server; closed by the caller of {@link #execute}
   * @param output prints results
   */
  record Session(Console console, ApiClient client, Output output) {

    /** Prints the error of a failed call and returns its exit code. */
    ExitCode reportFailure(ApiResult result) {
      return console.fail(result.exitCode(), result.message());
    }
  }
}
