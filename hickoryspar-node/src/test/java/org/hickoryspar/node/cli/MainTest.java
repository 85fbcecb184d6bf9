package org.hickoryspar.node.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import org.hickoryspar.node.cli.FakeServer.ReceivedRequest;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MainTest {

  private static final String FLEET =
      "{'version':4,'document':{'services':{'s':{}},'exceptions':{'w7':{'kind':'worker-out',"
          + "'target':'w7','owner':'ines','reason':'fan','createdMillis':1796378760697}}}}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final Map<String, String> environment = new HashMap<>();
  private FakeServer server;
  private Path folder;
  private Path valid;
  private Path invalid;

  @BeforeClass
  public void start() throws Exception {
    server = new FakeServer();
    folder = Files.createTempDirectory("cli");
    valid = Files.writeString(folder.resolve("fleet.json"), "{\"services\":{\"t\":{}}}");
    invalid = Files.writeString(folder.resolve("invalid.json"), "{\"team\":{}}");
  }

  @AfterClass
  public void stop() throws Exception {
    server.close();
    Files.delete(valid);
    Files.delete(invalid);
    Files.delete(folder);
  }

  @BeforeMethod
  public void reset() {
    server.reset();
    out.reset();
    err.reset();
    environment.clear();
    environment.put("HICKORYSPAR_SERVER", server.address());
    environment.put("HICKORYSPAR_TOKEN", "secret");
    server.stub("GET /v1/fleet", 200, FLEET);
  }

  private int run(String arguments) {
    String commandLine = arguments.replace("VALID", valid.toString());
    return new Main(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8),
            environment)
        .run(commandLine.replace("INVALID", invalid.toString()).split(" ", -1));
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  // ------------------------------------------------------------- exit codes

  @DataProvider
  public Object[][] responses() {
    String out = "data-centre out brest-a --reason works";
    String outCall = "POST /v1/data-centres/brest-a/out";
    String apply = "fleet apply VALID --reason r";
    return new Object[][] {
      {"--help", "", 0, "", 0},
      {"fleet apply --help", "", 0, "", 0},
      {"", "", 0, "", 2},
      {"fleet", "", 0, "", 2},
      {"nonsense", "", 0, "", 2},
      {"status --nonsense", "", 0, "", 2},
      {"status --output xml", "", 0, "", 2},
      {"status --server nonsense", "", 0, "", 2},
      {"status --server http://[", "", 0, "", 2},
      {"data-centre out brest-a", "", 0, "", 2},
      {"check-settings nowhere", "", 0, "", 3},
      {"entry --settings nowhere", "", 0, "", 3},
      {"status --token-file nowhere", "", 0, "", 6},
      {"status", "GET /v1/status", 200, "{'leader':'i1','term':3,'replicas':[{'id':'i1'}]}", 0},
      {"status", "GET /v1/status", 200, "<html>", 1},
      {"status", "GET /v1/status", 500, "{}", 1},
      {"status", "GET /v1/status", 401, "{'code':'token','message':'unknown token'}", 6},
      {"status", "GET /v1/status", 503, "{'code':'no-leader','message':'no leader'}", 7},
      {"status", "GET /v1/status", 0, "", 7},
      {"status --server 127.0.0.1:1", "", 0, "", 7},
      {out, outCall, 200, "{'version':5,'changeId':'c'}", 0},
      {out, outCall, 404, "{'code':'not-found','message':'no such data centre'}", 5},
      {out, outCall, 422, "{'code':'invalid','message':'guarantee of survey'}", 3},
      {out, outCall, 503, "{'outcome':'not-run','code':'no-leader','message':'m'}", 7},
      {out, outCall, 503, "{'outcome':'unknown','code':'lost','message':'m'}", 8},
      {out, outCall, 504, "{'code':'timeout','message':'m'}", 8},
      {out, outCall, 0, "", 8},
      {apply, "PUT /v1/fleet", 200, "{'version':5,'changeId':'c'}", 0},
      {apply, "PUT /v1/fleet", 409, "{'code':'version-conflict','message':'m','version':5}", 4},
      {"fleet apply INVALID --reason r", "", 0, "", 3},
      {"fleet diff VALID", "POST /v1/fleet/check", 200, "{}", 0},
      {"fleet diff VALID --exit-code", "POST /v1/fleet/check", 200, "{}", 9},
      {"fleet diff VALID", "POST /v1/fleet/check", 422, "{'code':'c','message':'m'}", 3},
      {"fleet show", "", 0, "", 0},
      {"fleet history", "GET /v1/fleet/history?limit=20", 200, "{'changes':[]}", 0},
      {"exception list", "", 0, "", 0},
      {"exception end a+b --reason r", "DELETE /v1/exceptions/a+b", 200, "{}", 0},
      {"exception add --id e --kind k --target t --reason r --value {", "", 0, "", 3},
      {"exception add --id e --kind k --target t --reason r --ends soon", "", 0, "", 3},
      {"job submit VALID", "POST /v1/jobs", 200, "{'id':'j1'}", 0},
      {"job submit VALID", "POST /v1/jobs", 422, "{'code':'c','message':'can never fit'}", 3},
      {"job status j1", "GET /v1/jobs/j1", 200, "{'id':'j1','phase':'QUEUED'}", 0},
      {"job status j2", "", 0, "", 5},
      {"job cancel j1", "DELETE /v1/jobs/j1", 200, "{}", 0},
      {"job list --team t", "GET /v1/jobs?team=t", 200, "{'jobs':[{'id':'j1'}]}", 0},
    };
  }

  /** Guards against exit codes that report a change as made although it was not, or vice versa. */
  @Test(dataProvider = "responses")
  public void shouldExitWithTheDocumentedCode(
      String arguments, String call, int status, String body, int expected) {
    server.stub(call, status, body);

    assertEquals(run(arguments), expected, errors());
  }

  /** Guards against two causes with the same exit code, which scripts cannot distinguish. */
  @Test
  public void shouldUseDistinctExitCodes() {
    long numbers =
        java.util.Arrays.stream(ExitCode.values()).mapToInt(ExitCode::number).distinct().count();

    assertEquals(numbers, ExitCode.values().length);
  }

  /** Guards against an exit code that is missing from the operators' guide. */
  @Test
  public void shouldDocumentEveryExitCode() throws Exception {
    String guide = Files.readString(Path.of("..", "docs", "operators.md"));

    for (ExitCode code : ExitCode.values()) {
      assertTrue(guide.contains("\n| " + code.number() + " | "), code.name());
    }
  }

  // ------------------------------------------------------------- requests

  /** Guards against a change sent without its base version, reason, identifier or token. */
  @Test
  public void shouldSendChangeWithItsIdentifier() {
    server.stub("PUT /v1/fleet", 200, "{'version':5,'changeId':'c-1'}");

    run("fleet apply VALID --reason r --change-id c-1");

    ReceivedRequest put = server.receivedRequests().get(1);
    assertEquals(put.token(), "Bearer secret");
    assertTrue(
        put.body().startsWith("{\"changeId\":\"c-1\",\"reason\":\"r\",\"baseVersion\":4,"),
        put.body());
    assertTrue(put.body().contains("\"services\":{\"t\":{}}"), put.body());
    assertTrue(errors().contains("change id: c-1"), errors());
    assertTrue(errors().contains("+ services.t: {}"), errors());
  }

  /** Guards against a lost response after which the operator cannot resend the same change. */
  @Test
  public void shouldPrintChangeIdAndHowToResendWhenResponseIsLost() {
    server.stub("POST /v1/data-centres/a/out", 504, "{'code':'timeout','message':'m'}");

    run("data-centre out a --reason works");

    String id = errors().lines().findFirst().orElse("").replace("change id: ", "");
    assertEquals(UUID.fromString(id).version(), 7);
    // The first request asks for the version that the change is based on.
    assertTrue(server.receivedRequests().get(1).body().contains(id));
    assertTrue(errors().contains("resend with --change-id " + id), errors());
  }

  @DataProvider
  public Object[][] changesOfOneValue() {
    return new Object[][] {
      {"data-centre out a --reason works", "POST /v1/data-centres/a/out"},
      {"data-centre in a --reason works", "POST /v1/data-centres/a/in"},
      {"exception end e --reason r", "DELETE /v1/exceptions/e"},
    };
  }

  /** Guards against a change that arrives late and undoes one that was made after it. */
  @Test(dataProvider = "changesOfOneValue")
  public void shouldBaseChangeOnCurrentVersionWhenItIsSent(String command, String call) {
    server.stub(call, 200, "{'version':5,'changeId':'c'}");

    run(command);

    assertEquals(server.receivedRequests().size(), 2);
    assertTrue(server.receivedRequests().get(1).body().contains("\"baseVersion\":4"));
  }

  /** Guards against a change that fails because another operator has changed something else. */
  @Test
  public void shouldRepeatChangeWhenVersionHasMovedOn() {
    server.stub(
        "POST /v1/data-centres/a/out",
        409,
        "{'code':'version-conflict','message':'m','version':5,'owner':'ines','timeMillis':1}");

    assertEquals(run("data-centre out a --reason works"), 4);

    long changes =
        server.receivedRequests().stream()
            .filter(request -> request.body().contains("baseVersion"))
            .count();
    assertEquals(changes, 5);
  }

  /** Guards against a conflict message without the version, owner and time of the other change. */
  @Test
  public void shouldNameAcceptedChangeWhenVersionsConflict() {
    server.stub(
        "PUT /v1/fleet",
        409,
        "{'code':'version-conflict','message':'m','version':5,'owner':'jo','timeMillis':1000}");

    run("fleet apply VALID --reason r --base-version 4");

    assertTrue(errors().contains("(version 5 by jo at 1970-01-01T00:00:01Z)"), errors());
    assertEquals(server.receivedRequests().size(), 1);
  }

  /** Guards against an exception that is sent without its value or end. */
  @Test
  public void shouldSendValueAndEndOfException() {
    server.stub("POST /v1/exceptions", 200, "{}");

    run(
        "exception add --id e --kind team-weight --target t --reason r --value 2"
            + " --ends 1970-01-01T00:00:05Z --change-id c");

    assertEquals(
        server.receivedRequests().get(1).body(),
        "{\"changeId\":\"c\",\"reason\":\"r\",\"id\":\"e\",\"kind\":\"team-weight\","
            + "\"target\":\"t\",\"value\":2,\"endsMillis\":5000,\"baseVersion\":4}");
  }

  /** Guards against a job that runs twice because it is resent without its idempotency key. */
  @Test
  public void shouldSendChangeIdOfJobAsIdempotencyKey() {
    server.stub("POST /v1/jobs", 200, "{'id':'j1'}");

    run("job submit VALID --change-id k-1");

    assertEquals(server.receivedRequests().get(0).idempotencyKey(), "k-1");
  }

  // ------------------------------------------------------------- output

  /** Guards against lists that scripts cannot parse and tables without aligned columns. */
  @Test
  public void shouldPrintListAsTableOrJson() {
    run("exception list");
    assertTrue(output().contains("  id kind       target owner reason createdMillis"), output());
    assertTrue(output().contains("  w7 worker-out w7     ines  fan    2026-12-04T10:06:00.697Z"));

    out.reset();
    run("exception list --output json");
    assertTrue(output().startsWith("[ {"), output());
  }

  /** Guards against printing the token. */
  @Test
  public void shouldNotPrintToken() {
    run("status");

    assertFalse((output() + errors()).contains("secret"));
  }

  // ------------------------------------------------------------- stop

  /** Guards against a process that never ends because a component of its daemon does not stop. */
  @Test
  public void shouldTimeOutWhenDaemonDoesNotStop() {
    java.util.concurrent.CountDownLatch never = new java.util.concurrent.CountDownLatch(1);

    assertFalse(DaemonRunner.stop("entry", never::await, 20));
    assertTrue(DaemonRunner.stop("entry", () -> {}, 10_000));
  }
}
