package org.hickoryspar.kernel.dispatch;

/**
 * A waiting step with its urgency.
 *
 * @param waitingStep the step
 * @param urgency its urgency
 */
record RankedStep(WaitingStep waitingStep, Urgency urgency) {}
