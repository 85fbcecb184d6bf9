package org.hickoryspar.node.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SettingsLoaderTest {

  private static final String VALID =
      """
      {"cluster":"c","instanceId":"i1","dataCentre":"a","region":"r",
       "entry":{"httpAddress":"127.0.0.1:1","peerAddress":"127.0.0.1:2"},
       "control":{"httpAddress":"127.0.0.1:3","peerAddress":"[::1]:4","dataFolder":"d",
         "platformAddress":"127.0.0.1:5"},
       "instances":[{"id":"i1","dataCentre":"a","region":"r",
         "entryPeerAddress":"127.0.0.1:2","controlPeerAddress":"[::1]:4"},
         {"id":"i2","dataCentre":"a","region":"r"}],
       "tokens":[{"kind":"team","name":"t","sha256":"%1$s"}],
       "tracing":{"file":"spans"}}
      """
          .formatted("0".repeat(64));

  private Path folder = Path.of("");

  @BeforeClass
  public void createFolder() throws IOException {
    folder = Files.createTempDirectory("settings");
  }

  @AfterClass
  public void deleteFolder() throws IOException {
    Files.deleteIfExists(folder.resolve("file.json"));
    Files.delete(folder);
  }

  private Path write(String content) throws IOException {
    return Files.writeString(folder.resolve("file.json"), content);
  }

  private static String problemMessage(Result<?> result) {
    return result.problem().map(Problem::message).orElse("accepted");
  }

  // ------------------------------------------------------------- load settings

  @DataProvider
  public Object[][] invalidSettings() {
    return new Object[][] {
      {"\"cluster\"", "\"clutser\"", "$.clutser: unknown key, expected one of cluster, instanceId"},
      {"\"cluster\":\"c\",", "", "$.cluster: expected the name of the cluster"},
      {"\"cluster\":\"c\"", "\"cluster\":\"a b\"", "$.cluster: expected the name of the cluster"},
      {"\"cluster\":\"c\"", "\"cluster\":\"c\",\"cluster\":\"c\"", "Duplicate field 'cluster'"},
      {"127.0.0.1:1\"", "localhost:1\"", "$.entry.httpAddress: expected IP:PORT for callers"},
      {"127.0.0.1:1\"", "127.0.0.1\"", "$.entry.httpAddress: expected IP:PORT for callers"},
      {"127.0.0.1:1\"", "127.0.0.999:1\"", "$.entry.httpAddress: expected an IP address"},
      {"127.0.0.1:1\"", "127.0.0.1:70000\"", "expected a port from 1 to 65535, found 70000"},
      {"127.0.0.1:3\"", "127.0.0.1:1\"", "$.control.httpAddress: expected an address other than"},
      {"\"peerAddress\":\"127.0.0.1:2\"", "\"peerAddress\":\"127.0.0.1:9\"", "listed for this"},
      {"\"dataFolder\"", "\"dataFolderMegabytes\":1,\"dataFolder\"", "Megabytes: unknown key"},
      {
        "\"httpAddress\"", "\"queueLength\":\"1k\",\"httpAddress\"", "$.entry.queueLength: expected"
      },
      {"\"httpAddress\"", "\"maxRequestBodyBytes\":16,\"httpAddress\"", "of bytes from 1024 to"},
      {"\"httpAddress\"", "\"deadlineSeconds\":3,\"httpAddress\"", "deadlineSeconds: unknown key"},
      {"\"instanceId\":\"i1\"", "\"instanceId\":\"i9\"", "$.instanceId: expected an instance"},
      {"\"id\":\"i2\"", "\"id\":\"i1\"", "$.instances[1].id: expected a unique identifier"},
      {"\"region\":\"r\"}", "\"region\":\"s\"}", "$.instances[1].region: expected the region of"},
      {"i1\",\"dataCentre\":\"a\"", "i1\",\"dataCentre\":\"b\"", "$.dataCentre: expected"},
      {",\"controlPeerAddress\":\"[::1]:4\"", "", "$.instances: expected an instance with a"},
      {"\"team\"", "\"user\"", "$.tokens[0].kind: expected one of team, operator, minion"},
      {"\"0000", "\"AAAA", "$.tokens[0].sha256: expected the SHA-256 of the token"},
      {"\"file\":\"spans\"", "", "$.tracing: expected an object with either file or otlpEndpoint"},
      {
        "\"tracing\"",
        "\"tls\":{\"keyStoreFile\":\"nowhere\",\"keyStorePasswordFile\":\"nowhere\"},\"tracing\"",
        "$.tls.keyStoreFile: expected a readable file, found nowhere"
      },
      {VALID, "{\"cluster\":", "line 1, column"},
    };
  }

  /** Guards against a daemon that starts with misspelled, malformed or contradictory settings. */
  @Test(dataProvider = "invalidSettings")
  public void shouldNameFileAndPathWhenSettingsAreInvalid(
      String valid, String invalid, String expected) throws IOException {
    assertTrue(VALID.contains(valid), valid);
    Path file = write(VALID.replaceFirst(java.util.regex.Pattern.quote(valid), invalid));

    String message = problemMessage(new SettingsLoader().load(file));

    assertTrue(message.contains(expected), message);
    assertTrue(message.startsWith(file.toString()), message);
  }

  /** Guards against a schema that rejects valid settings, and against missing defaults. */
  @Test
  public void shouldReadValidSettingsWithDefaults() throws IOException {
    Settings settings = new SettingsLoader().load(write(VALID)).fold(p -> null, s -> s);

    assertEquals(settings.entry().queueLength(), 1000);
    assertEquals(settings.control().peerAddress(), "[::1]:4");
    assertEquals(settings.instances().size(), 2);
  }

  /** Guards against a stack trace instead of a message if the file is missing. */
  @Test
  public void shouldNameFileWhenItCannotBeRead() {
    Path missing = folder.resolve("missing.json");

    assertEquals(
        problemMessage(new SettingsLoader().load(missing)),
        missing + ": expected a file, found nothing");
    assertTrue(
        problemMessage(new SettingsLoader().load(folder)).contains("expected a readable file"));
  }

  // ------------------------------------------------------------- load a fleet document

  @DataProvider
  public Object[][] fleetDocuments() {
    return new Object[][] {
      {"{}"},
      {"{\"teams\":{\"t\":{\"quota\":{\"cores\":1,\"memoryMegabytes\":1,\"accelerators\":0}}}}"},
      {"{\"teams\":{\"t\":{\"quota\":{\"cores\":1.5,\"memoryMegabytes\":1,\"accelerators\":0}}}}"},
      {"{\"teams\":{\"t\":{\"quota\":{\"cores\":1,\"accelerators\":0}}}}"},
      {"{\"teams\":{\"t t\":{\"quota\":{\"cores\":1,\"memoryMegabytes\":1,\"accelerators\":0}}}}"},
      {"{\"defaults\":{\"placementPolicy\":\"fragmentation\",\"deadlineMillis\":5}}"},
      {"{\"defaults\":{\"placementPolicy\":\"best\"}}"},
      {"{\"defaults\":{\"deadlineSeconds\":5}}"},
      {"{\"defaults\":{\"retryBudgetPercent\":101}}"},
      {"{\"services\":{\"s\":{\"queueLength\":7}}}"},
      {"{\"services\":{\"s\":{\"queueLength\":0}}}"},
      {"{\"dataCentres\":{\"a\":{\"region\":\"r\",\"out\":false}}}"},
      {"{\"dataCentres\":{\"a\":{\"region\":\" \"}}}"},
      {"{\"dataCentres\":{\"a\":{\"region\":\"r\",\"out\":\"no\"}}}"},
      {exception("\"reason\":\"fan\"")},
      {exception("\"reason\":\"fan\",\"endsMillis\":9")},
      {exception("\"reason\":\" \"")},
      {exception("\"reason\":\"fan\",\"ends\":9")},
    };
  }

  private static String exception(String members) {
    return "{\"exceptions\":{\"e\":{\"kind\":\"worker-out\",\"target\":\"w\",\"owner\":\"o\","
        + "\"createdMillis\":1,"
        + members
        + "}}}";
  }

  /** Guards against a schema that differs from the rules that the leader enforces. */
  @Test(dataProvider = "fleetDocuments")
  public void shouldAcceptSameDocumentsAsKernel(String json) throws IOException {
    Path file = write(json);

    Result<FleetDocument> fromSchema = new FleetLoader().load(file);
    Result<FleetDocument> fromKernel = FleetDocument.parse(Files.readAllBytes(file));

    assertEquals(fromSchema.isSuccess(), fromKernel.isSuccess(), problemMessage(fromSchema));
    assertEquals(
        new SchemaValidator("fleet.schema.json").validate(JsonFile.MAPPER.readTree(json)).isEmpty(),
        fromKernel.isSuccess(),
        problemMessage(fromKernel));
  }
}
