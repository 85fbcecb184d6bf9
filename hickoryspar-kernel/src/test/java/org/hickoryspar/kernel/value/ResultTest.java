package org.hickoryspar.kernel.value;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ResultTest {

  // -- flatMap

  @DataProvider
  Object[][] ports() {
    return new Object[][] {{"80", "port 80"}, {"x", "bad-number"}, {"0", "out-of-range"}};
  }

  /** Guards against a failure that is lost or replaced in a chain of operations. */
  @Test(dataProvider = "ports")
  public void shouldReturnFirstFailureWhenChained(String text, String expected) {
    Result<String> result = parse(text).flatMap(ResultTest::positive).map(n -> "port " + n);
    assertEquals(result.fold(Problem::code, line -> line), expected);
  }

  // -- getOrElseThrow

  /** Guards against a failure that is returned as a value or loses its message. */
  @Test
  public void shouldThrowOnlyWhenResultIsFailure() {
    assertEquals(parse("80").getOrElseThrow(p -> new IllegalStateException(p.message())), 80);
    IllegalStateException thrown =
        expectThrows(
            IllegalStateException.class,
            () -> parse("x").getOrElseThrow(p -> new IllegalStateException(p.message())));
    assertEquals(thrown.getMessage(), "expected digits, found x");
  }

  // -- success

  /** Guards against a null that is passed on as a value. */
  @Test(expectedExceptions = NullPointerException.class)
  public void shouldRejectNullWhenSuccessIsCreated() {
    String missing = null;
    assertFalse(Result.success(missing).isSuccess());
  }

  private static Result<Integer> parse(String text) {
    return text.matches("\\d+")
        ? Result.success(Integer.parseInt(text))
        : Result.failure("bad-number", "expected digits, found " + text);
  }

  private static Result<Integer> positive(int number) {
    return number > 0
        ? Result.success(number)
        : Result.failure("out-of-range", "expected a port above 0");
  }
}
