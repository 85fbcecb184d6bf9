/**
 * Decisions of the leader about workflows: placement, preemption, starts, stops and the leases of
 * minions. The code performs no I/O, reads no clock and starts no threads.
 *
 * <p>A life of a minion is one run of its process; it is identified by the minion and the start
 * time of the process.
 */
@NullMarked
package org.hickoryspar.kernel.dispatch;

import org.jspecify.annotations.NullMarked;
