package org.hickoryspar.node.dispatch;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FencingTokensTest {

  private static final long MAX_EXACT_IN_JSON = 1L << 53;

  @DataProvider
  Object[][] laterTerms() {
    return new Object[][] {{1L, 1L}, {1L, 2L}, {7L, 7L}, {7L, 900L}};
  }

  /** Guards against a minion that accepts late orders of an earlier session. */
  @Test(dataProvider = "laterTerms")
  public void shouldIncreaseWithEachSession(long term, long laterTerm) {
    FencingTokens tokens = new FencingTokens();
    tokens.next(term);
    long second = tokens.next(term);

    assertTrue(tokens.next(laterTerm) > second);
  }

  /** Guards against a later term with a lower token after many sessions in an earlier term. */
  @Test
  public void shouldBeHigherWhenAnotherLeaderHasALaterTerm() {
    FencingTokens earlier = new FencingTokens();
    long last = 0;
    for (int i = 0; i < 10_000; i++) {
      last = earlier.next(5);
    }

    assertTrue(new FencingTokens().next(6) > last);
  }

  /** Guards against tokens that lose digits when they are sent as JSON numbers. */
  @Test
  public void shouldBeExactWhenEncodedInJson() {
    assertTrue(new FencingTokens().next((1L << 33) - 1) < MAX_EXACT_IN_JSON);
  }

  /** Guards against a token that decreases because the term was read from an outdated status. */
  @Test
  public void shouldRejectAnEarlierTerm() {
    FencingTokens tokens = new FencingTokens();
    tokens.next(5);

    assertThrows(IllegalArgumentException.class, () -> tokens.next(4));
  }
}
