package org.hickoryspar.kernel.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MergePatchTest {

  private static final JsonMapper MAPPER = JsonMapper.builder().build();

  private static JsonNode json(String text) throws Exception {
    return MAPPER.readTree(text);
  }

  /** The test cases of RFC 7396, appendix A. */
  @DataProvider
  public Object[][] rfcCases() {
    return new Object[][] {
      {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
      {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
      {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
      {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
      {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
      {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
      {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}", "{\"a\":{\"b\":\"d\"}}"},
      {"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
      {"[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]"},
      {"{\"a\":\"b\"}", "[\"c\"]", "[\"c\"]"},
      {"{\"a\":\"foo\"}", "null", "null"},
      {"{\"a\":\"foo\"}", "\"bar\"", "\"bar\""},
      {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
      {"[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}"},
      {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
    };
  }

  /** Guards against deviations from RFC 7396, which other clients implement. */
  @Test(dataProvider = "rfcCases")
  public void shouldApplyPatchesAsInTheRfc(String target, String patch, String expected)
      throws Exception {
    assertEquals(MergePatch.apply(json(target), json(patch)), json(expected));
  }

  /** Guards against a created patch that does not produce its target; seed 7396. */
  @Test
  public void shouldProduceTheTargetWhenACreatedPatchIsApplied() {
    Random random = new Random(7396);
    for (int i = 0; i < 2_000; i++) {
      JsonNode source = tree(random, 3);
      JsonNode target = tree(random, 3);

      JsonNode patched = MergePatch.apply(source, MergePatch.create(source, target));

      assertTrue(
          MergePatch.equalByValue(patched, target), source + " to " + target + ": " + patched);
    }
  }

  private static JsonNode tree(Random random, int depth) {
    if (depth < 3 && random.nextInt(3) == 0) {
      return MAPPER.getNodeFactory().numberNode(random.nextInt(2));
    }
    var object = MAPPER.createObjectNode();
    for (String key : new String[] {"a", "b", "c"}) {
      if (depth > 0 && random.nextBoolean()) {
        object.set(key, tree(random, depth - 1));
      }
    }
    return object;
  }

  /** Guards against a patch that silently deletes a member whose new value is null. */
  @Test
  public void shouldRejectATargetWithANullMember() {
    assertThrows(
        IllegalArgumentException.class, () -> MergePatch.create(json("{}"), json("{\"a\":null}")));
  }

  /** Guards against spurious differences between a parsed document and one built in code. */
  @Test
  public void shouldTreatEqualNumbersOfDifferentTypesAsEqual() throws Exception {
    assertEquals(MergePatch.create(json("{\"a\":1}"), json("{\"a\":1.0}")), json("{}"));
  }
}
