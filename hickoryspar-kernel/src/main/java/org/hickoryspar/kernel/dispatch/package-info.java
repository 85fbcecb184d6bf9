/**
 * Schedules the tasks of workflows on minions: placement, preemption, start and stop orders, and
 * the leases of the minions. The code performs no I/O, reads no clock and starts no threads.
 *
 * <p>A life of a minion is one run of its process; it is identified by the minion and the start
 * time of the process.
 */
@NullMarked
package org.hickoryspar.kernel.dispatch;

import org.jspecify.annotations.NullMarked;
