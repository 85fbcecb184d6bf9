package org.hickoryspar.bench;

import java.util.List;
import java.util.Map;

/**
 * The measurements of one run of a scheduler on a workload. Component names are keys of the JSON
 * report.
 *
 * @param deployment name of the deployment
 * @param variant scheduler and placement policy, for example {@code "guarantee:fragmentation"}
 * @param seed seed of the workload
 * @param completion time from submission to completion by class of jobs, and under {@code "all"}
 *     for all classes
 * @param urgentWithCapacity time from submission to start of urgent jobs for which free or
 *     preemptible capacity existed at submission
 * @param urgentWithoutCapacity the same for the other urgent jobs
 * @param decision measured duration of {@code decide}, without the first 10 minutes
 * @param decisionOnSubmission the same for the calls that followed a submission
 * @param figures scalar figures by name
 * @param brokenPromises number of violations by kind, without kinds that did not occur
 * @param examples the first violations and rejections of healthy jobs, with the virtual time
 * @param fragmentationSeries mean share of free accelerators that no waiting large shape can use,
 *     for each half hour
 * @param runningSeries mean number of accelerators of running jobs, for each half hour
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
