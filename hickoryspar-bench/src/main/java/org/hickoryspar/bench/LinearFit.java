package org.hickoryspar.bench;

import java.util.List;
import java.util.Locale;

/**
 * The least-squares line through measured points.
 *
 * @param intercept value at size 0
 * @param slope change of the value per unit of size
 * @param rSquared coefficient of determination R²; 1 if all points are on the line
 * @param largestResidual largest absolute residual
 */
public record LinearFit(double intercept, double slope, double rSquared, double largestResidual) {

  /**
   * Fits a line to points.
   *
   * @param xs the sizes, at least two of them different
   * @param ys the measured values, as many as sizes
   * @return the fit
   * @throws IllegalArgumentException if the lists have different lengths or fewer than two points
   */
  public static LinearFit of(List<Double> xs, List<Double> ys) {
    int count = xs.size();
    if (count != ys.size() || count < 2) {
      throw new IllegalArgumentException(
          "expected two or more sizes and as many values, sizes found: " + count);
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
   * Returns the value of the line at a size.
   *
   * @param x the size
   * @return the value
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
