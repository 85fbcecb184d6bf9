/**
 * The reports of minions on their way from the control daemon that receives them to the leader. The
 * code performs no I/O, reads no clock and starts no threads.
 */
@NullMarked
package org.hickoryspar.kernel.reports;

import org.jspecify.annotations.NullMarked;
