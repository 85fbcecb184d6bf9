/**
 * Judges minions by the work that they do: how fast they finish it against the expectation of like
 * work. The code performs no I/O, reads no clock and starts no threads; all times are passed in.
 */
@NullMarked
package org.hickoryspar.kernel.minion;

import org.jspecify.annotations.NullMarked;
