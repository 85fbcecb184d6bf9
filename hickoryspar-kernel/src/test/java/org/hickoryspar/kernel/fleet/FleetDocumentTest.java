package org.hickoryspar.kernel.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FleetDocumentTest {

  private static final String DOCUMENT =
      """
      {"teams":{
         "survey":{"quota":{"cores":64,"memoryMegabytes":256000,"accelerators":16},"weight":2,
           "guarantees":[{"name":"eight","tasks":8,
             "perTask":{"cores":4,"memoryMegabytes":16000,"accelerators":1},
             "adjacency":"worker","count":2}]},
         "preview":{"quota":{"cores":8,"memoryMegabytes":32000,"accelerators":2}}},
       "services":{"catalogue":{"queueLength":50}},
       "dataCentres":{"brest-a":{"region":"finistere"},"rennes-a":{"region":"rennes"}},
       "exceptions":{
         "small-quota":{"kind":"team-quota","target":"preview",
           "value":{"cores":4,"memoryMegabytes":1000,"accelerators":1},
           "owner":"ines","reason":"over budget","createdMillis":1000,"endsMillis":5000},
         "w7":{"kind":"worker-out","target":"w7","owner":"ines","reason":"fan","createdMillis":1}}}
      """;

  private static FleetDocument document() {
    return parse(DOCUMENT);
  }

  private static FleetDocument parse(String json) {
    return getOrFail(FleetDocument.parse(json.getBytes(UTF_8)));
  }

  private static FleetDocument getOrFail(Result<FleetDocument> result) {
    return result.fold(
        problem -> {
          throw new AssertionError(problem);
        },
        value -> value);
  }

  private static String problemMessage(Result<FleetDocument> result) {
    return result.problem().map(Problem::message).orElse("accepted");
  }

  // ------------------------------------------------------------- parse

  @DataProvider
  public Object[][] invalidDocuments() {
    return new Object[][] {
      {"{", "", "$: expected JSON"},
      {"[]", "", "$: expected an object, found []"},
      {"{\"teams\":{},\"teams\":{}}", "", "Duplicate field 'teams'"},
      {"\"weight\":2", "\"weigth\":2", "$.teams.survey.weigth: unknown key, expected one of"},
      {"\"weight\":2", "\"weight\":0", "$.teams.survey.weight: expected a number above 0, found 0"},
      {"\"cores\":64", "\"cores\":\"64\"", "$.teams.survey.quota.cores: expected a whole number"},
      {"\"cores\":64", "\"cores\":6.5", "$.teams.survey.quota.cores: expected a whole number"},
      {"\"memoryMegabytes\":256000", "\"memoryGigabytes\":256", "memoryGigabytes: unknown key"},
      {"\"accelerators\":16}", "\"accelerators\":15}", "total of the guarantees, 16, found 15"},
      {"\"worker\"", "\"row\"", "guarantees[0].adjacency: expected one of none, worker, rack"},
      {"\"tasks\":8", "\"tasks\":0", "guarantees[0].tasks: expected a whole number from 1 to"},
      {"\"region\":\"rennes\"", "\"out\":true", "$.dataCentres.rennes-a.region: expected text"},
      {"\"queueLength\":50", "\"queueLength\":-1", "$.services.catalogue.queueLength: expected"},
      {"\"reason\":\"fan\"", "\"reason\":\" \"", "$.exceptions.w7.reason: expected text that is"},
      {"\"target\":\"preview\"", "\"target\":\"nobody\"", "expected a team of this document"},
      {"\"worker-out\"", "\"rack-out\"", "$.exceptions.w7.kind: expected one of worker-out"},
      {"\"w7\":{", "\"w 7\":{", "$.exceptions.w 7: expected a name"},
    };
  }

  /** Guards against an invalid document that is accepted, or rejected without a usable path. */
  @Test(dataProvider = "invalidDocuments")
  public void shouldNameThePathWhenTheDocumentIsInvalid(
      String valid, String invalid, String expected) {
    String json = invalid.isEmpty() ? valid : DOCUMENT.replace(valid, invalid);

    String message = problemMessage(FleetDocument.parse(json.getBytes(UTF_8)));

    assertTrue(message.contains(expected), message);
  }

  /** Guards against a message that contains only the first of several problems. */
  @Test
  public void shouldReportAllProblemsAtOnce() {
    String json = DOCUMENT.replace("\"weight\":2", "\"weight\":0").replace("\"fan\"", "\"\"");

    assertEquals(problemMessage(FleetDocument.parse(json.getBytes(UTF_8))).lines().count(), 2);
  }

  /** Guards against replicas that store different bytes for the same document. */
  @Test
  public void shouldWriteTheSameBytesAfterARoundTrip() {
    FleetDocument reparsed = getOrFail(FleetDocument.parse(document().toBytes()));

    assertEquals(reparsed, document());
    assertEquals(reparsed.toBytes(), document().toBytes());
  }

  // ------------------------------------------------------------- patched, patchTo, diff

  /** Guards against a delta that gives an entry a different document than the leader's. */
  @Test
  public void shouldProduceTheTargetWhenItsPatchIsApplied() {
    FleetDocument target =
        getOrFail(document().withDataCentre("brest-a", true, "ines", "power works"));
    target = getOrFail(target.withoutException("w7"));

    assertEquals(getOrFail(document().patched(document().patchTo(target))), target);
    assertEquals(new String(target.patchTo(target), UTF_8), "{}");
  }

  /** Guards against a patch that makes a document invalid. */
  @Test
  public void shouldRejectAPatchWhenTheResultIsInvalid() {
    byte[] patch = "{\"teams\":{\"preview\":null}}".getBytes(UTF_8);

    assertTrue(
        problemMessage(document().patched(patch)).contains("expected a team of this document"));
  }

  /** Guards against a diff that omits a change or lists a spurious one. */
  @Test
  public void shouldListOneLinePerChange() {
    FleetDocument target =
        parse(
            DOCUMENT
                .replace("\"weight\":2", "\"weight\":3")
                .replace("\"count\":2", "\"count\":1")
                .replace("\"queueLength\":50", ""));

    assertEquals(
        document().diff(target),
        List.of(
            "- services.catalogue.queueLength: 50",
            "~ teams.survey.guarantees[eight].count: 2 -> 1",
            "~ teams.survey.weight: 2.0 -> 3.0"));
    assertEquals(document().diff(document()), List.of());
  }

  // ------------------------------------------------------------- withException, withDataCentre

  @DataProvider
  public Object[][] operatorExceptions() {
    return new Object[][] {
      {"{'id':'w9','kind':'worker-out','target':'w9','reason':'r','changeId':'c'}", "accepted"},
      {"{'id':'w7','kind':'worker-out','target':'w7','reason':'r'}", "exists already"},
      {"{'id':'w9','kind':'worker-out','target':'w9','reason':' '}", "$.reason: expected text"},
      {"{'id':'w9','kind':'worker-out','target':'w9','reason':'r','value':1}", "$.value: unknown"},
      {"{'id':'q','kind':'team-weight','target':'preview','reason':'r'}", "$.value: expected a"},
      {"{'id':'a/b','kind':'worker-out','target':'w9','reason':'r'}", "$.id: expected a name"},
      {"{'id':'q','kind':'service-limit','target':'x','value':{},'reason':'r'}", "a service of"},
      {
        "{'id':'q','kind':'team-quota','target':'survey','reason':'r',"
            + "'value':{'cores':64,'memoryMegabytes':256000,'accelerators':8}}",
        "$.value.accelerators: expected at least the total of the guarantees, 16, found 8"
      },
    };
  }

  /** Guards against an exception without a reason, or one that undermines a guarantee. */
  @Test(dataProvider = "operatorExceptions")
  public void shouldValidateAnOperatorException(String json, String expected) throws Exception {
    Result<FleetDocument> result =
        document()
            .withException(
                JsonMapper.builder().build().readTree(json.replace('\'', '"')), "ines", 7000);

    assertTrue(problemMessage(result).contains(expected), problemMessage(result));
  }

  /** Guards against a data centre that is taken out without a reason, or that does not exist. */
  @Test
  public void shouldRejectADataCentreChangeWhenItIsUnknownOrHasNoReason() {
    assertTrue(
        problemMessage(document().withDataCentre("paris", true, "ines", "r")).contains("paris"));
    assertTrue(
        problemMessage(document().withDataCentre("brest-a", true, "ines", "")).contains("reason"));
    assertTrue(problemMessage(document().withoutException("none")).contains("none"));
  }

  // ------------------------------------------------------------- toSchedulingConfig

  /** Guards against an exception that has no effect, or remains in force after its end. */
  @Test
  public void shouldApplyExceptionsUntilTheyEnd() {
    FleetDocument document = getOrFail(document().withDataCentre("brest-a", true, "ines", "works"));

    SchedulingConfig before = document.toSchedulingConfig(4, 4999);
    SchedulingConfig after = document.toSchedulingConfig(4, 5000);

    assertEquals(before.teams().get(0).quota(), new ResourceVector(4, 1000, 1));
    assertEquals(after.teams().get(0).quota(), new ResourceVector(8, 32000, 2));
    assertEquals(after.teams().get(1).guarantees().size(), 2);
    assertEquals(after.dataCentresOut(), Set.of("brest-a"));
    assertEquals(after.workersOut(), Set.of("w7"));
    assertEquals(document.nextExceptionEndMillis(4999), OptionalLong.of(5000));
    assertEquals(document.nextExceptionEndMillis(5000), OptionalLong.empty());
  }

  // ------------------------------------------------------------- effectiveLimits

  /** Guards against limits that ignore the service's own value or the exception. */
  @Test
  public void shouldPreferTheExceptionThenTheServiceLimitThenTheDefault() throws Exception {
    String json =
        "{\"id\":\"q\",\"kind\":\"service-limit\",\"target\":\"catalogue\",\"reason\":\"r\","
            + "\"value\":{\"deadlineMillis\":900},\"endsMillis\":2000}";
    FleetDocument document =
        getOrFail(
            document().withException(JsonMapper.builder().build().readTree(json), "ines", 1000));

    ServiceLimits limitsInForce = document.effectiveLimits("catalogue", 1999);

    assertEquals(limitsInForce, new ServiceLimits(OptionalLong.of(900), OptionalLong.of(50)));
    assertEquals(
        document.effectiveLimits("catalogue", 2000),
        new ServiceLimits(OptionalLong.of(30_000), OptionalLong.of(50)));
    assertFalse(document.services().containsKey("other"));
  }
}
