package org.hickoryspar.kernel.dispatch;

/**
 * A waiting step with its urgency.
 *
 * @param waiting the step
 * @param urgency its urgency
 */
record RankedStep(WaitingStep waiting, Urgency urgency) {}
