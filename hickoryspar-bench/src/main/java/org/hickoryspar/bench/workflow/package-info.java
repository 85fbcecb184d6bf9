/**
 * Simulation of workflows: the dispatcher of the control daemon runs tasks on simulated minions
 * under a virtual clock, with load and injected faults, and the invariants of each run are checked.
 */
@NullMarked
package org.hickoryspar.bench.workflow;

import org.jspecify.annotations.NullMarked;
