/**
 * Benchmark of scheduling decisions: generates workloads, simulates a platform under a virtual
 * clock, checks invariants of the scheduler and reports measurements.
 */
@NullMarked
package org.hickoryspar.bench;

import org.jspecify.annotations.NullMarked;
