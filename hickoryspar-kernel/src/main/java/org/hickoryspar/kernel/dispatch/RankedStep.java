package org.hickoryspar.kernel.dispatch;

/**
 * A waiting step with its urgency.
 *
 * @param waiting the step
 * @param urgency when it must start
 */
record RankedStep(WaitingStep waiting, Urgency urgency) {}
