package org.hickoryspar.bench;

import java.util.List;
import java.util.Locale;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at 0
 * @param slope change per unit
 * @param rSquared coefficient of determination R²; 1 when all points are on the line
 * @param largestResidual largest distance of a point from the line
 */
public record LinearFit(double intercept, double slope, double rSquared, double largestResidual) {

  /**
   * Fits a line.
   *
   * @param xs the sizes, at least two different ones
   * @param ys the measured values, as many as sizes
   * @return the fit
   * @throws IllegalArgumentException if the lists have different lengths or fewer than two points
   */
  public static LinearFit of(List<Double> xs, List<Double> ys) {
    int count = xs.size();
    if (count != ys.size() || count < 2) {
      throw new IllegalArgumentException("expected two or more points, found " + count);
    }
    double meanX = xs.stream().mapToDouble(Double::doubleValue).sum() / count;
    double meanY = ys.stream().mapToDouble(Double::doubleValue).sum() / count;
    double covariance = 0;
    double varianceX = 0;
    double varianceY = 0;
    for (int i = 0; i < count; i++) {
      covariance += (xs.get(i) - meanX) * (ys.get(i) - meanY);
      varianceX += (xs.get(i) - meanX) * (xs.get(i) - meanX);
      varianceY += (ys.get(i) - meanY) * (ys.get(i) - meanY);
    }
    double slope = covariance / varianceX;
    double intercept = meanY - slope * meanX;
    double residualSumOfSquares = 0;
    double largestResidual = 0;
    for (int i = 0; i < count; i++) {
      double residual = ys.get(i) - intercept - slope * xs.get(i);
      residualSumOfSquares += residual * residual;
      largestResidual = Math.max(largestResidual, Math.abs(residual));
    }
    double determination = varianceY == 0 ? 1 : 1 - residualSumOfSquares / varianceY;
    return new LinearFit(intercept, slope, determination, largestResidual);
  }

  /**
   * Returns the value of the line.
   *
   * @param x the size
   * @return the value at that size
   */
  public double valueAt(double x) {
    return intercept + slope * x;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "%.4g + %.4g x, R2 %.3f, largest residual %.3g",
        intercept,
        slope,
        rSquared,
        largestResidual);
  }
}
