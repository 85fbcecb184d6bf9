/**
 * Quotas of teams: what each team may have running at a time, and what it has running. The code
 * knows teams by name and amounts of resources, neither minions nor workflows. It performs no I/O,
 * reads no clock and starts no threads.
 */
@NullMarked
package org.hickoryspar.kernel.quota;

import org.jspecify.annotations.NullMarked;
