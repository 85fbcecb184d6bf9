package org.hickoryspar.kernel.runtime;

/** Takes the declared times for the run times. */
final class DeclaredPredictor implements RunTimePredictor {

  @Override
  public RunTimeDistribution predict(RunProfile profile, long declaredMillis) {
    return new FixedRunTime(declaredMillis, KeyLevel.DECLARED);
  }
}
