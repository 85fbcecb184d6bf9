package org.hickoryspar.bench;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

public class LinearFitTest {

  /** Guards against wrong slopes of the measured growth. */
  @Test
  public void shouldFitTheLineThroughThePoints() {
    LinearFit fit = LinearFit.of(List.of(0.0, 1.0, 2.0, 3.0), List.of(1.0, 3.0, 5.0, 7.0));
    assertEquals(fit, new LinearFit(1, 2, 1, 0));
    assertEquals(fit.valueAt(10), 21.0);
  }

  /** Guards against quantiles that ignore the largest value of a small sample. */
  @Test
  public void shouldSummariseTheSample() {
    assertEquals(Distribution.of(List.of(4.0, 1.0, 3.0, 2.0)), new Distribution(4, 2.5, 2, 4, 4));
    assertEquals(Distribution.of(List.of()), new Distribution(0, 0, 0, 0, 0));
  }
}
