package org.hickoryspar.bench;

import java.util.List;
import java.util.Map;

/**
 * What one run of one scheduler on one workload measured.
 *
 * @param deployment name of the deployment
 * @param variant scheduler and placement policy, for example {@code "guarantee:fragmentation"}
 * @param seed seed of the workload
 * @param completion completion time by class, and under {@code "all"} for all classes
 * @param urgentWithCapacity time from submission to start of urgent jobs for which free or
 *     preemptible capacity existed at submission
 * @param urgentWithoutCapacity the same for the other urgent jobs
 * @param decision duration of {@code decide} after the first 10 minutes
 * @param decisionOnSubmission the calls among them that followed a submission
 * @param figures single figures by name
 * @param brokenPromises number of broken promises by kind; kinds that did not occur are absent
 * @param examples the first broken promises, with the virtual time
 * @param fragmentationSeries mean share of unusable free accelerators in each half hour
 * @param runningSeries mean number of accelerators that do work in each half hour
 */
public record RunResult(
    String deployment,
    String variant,
    long seed,
    Map<String, Distribution> completion,
    Distribution urgentWithCapacity,
    Distribution urgentWithoutCapacity,
    Distribution decision,
    Distribution decisionOnSubmission,
    Map<String, Double> figures,
    Map<InvariantViolation, Integer> brokenPromises,
    List<String> examples,
    List<Double> fragmentationSeries,
    List<Double> runningSeries) {}
