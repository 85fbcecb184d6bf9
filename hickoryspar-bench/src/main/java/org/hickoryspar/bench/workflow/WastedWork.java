package org.hickoryspar.bench.workflow;

import java.util.Map;
import java.util.TreeMap;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;

/**
 * Sums up the work that is lost when runs are stopped or lost before completion. Checkpointed work
 * and runs that fail do not count.
 */
final class WastedWork {

  private static final int CORES_PER_ACCELERATOR = 8;
  private static final double MILLICORES_PER_CORE = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private double coreSeconds;
  private final Map<String, Double> byKindAndCause = new TreeMap<>();

  void recordEnd(SimulatedRun run, RunEnd.Cause cause) {
    if (cause == RunEnd.Cause.DONE || cause == RunEnd.Cause.TASK_FAILED) {
      return;
    }
    TaskDemand demand =
        run.workflow().submission().getSpec().getSteps(run.taskRun().step()).getDemand();
    double cores =
        demand.getCpuMillicores() / MILLICORES_PER_CORE
            + demand.getAccelerators() * CORES_PER_ACCELERATOR;
    double lostCoreSeconds = cores * run.lostWorkMillis(cause) / MILLIS_PER_SECOND;
    coreSeconds += lostCoreSeconds;
    byKindAndCause.merge(run.workflow().kind().name() + ' ' + cause, lostCoreSeconds, Double::sum);
  }

  /** Returns the lost core-seconds by kind of workflow and cause of the end. */
  Map<String, Double> byKindAndCause() {
    return byKindAndCause;
  }

  double coreSeconds() {
    return coreSeconds;
  }
}
