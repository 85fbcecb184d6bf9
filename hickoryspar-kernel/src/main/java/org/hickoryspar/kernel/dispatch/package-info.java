/**
 * What the leader knows of minions and decides about workflows: leases, starts, stops and
 * placement. Without I/O, clock or threads.
 */
@NullMarked
package org.hickoryspar.kernel.dispatch;

import org.jspecify.annotations.NullMarked;
