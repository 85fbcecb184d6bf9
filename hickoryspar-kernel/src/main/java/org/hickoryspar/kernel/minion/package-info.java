/**
 * The view that a leader has of a single minion: its lease and clock, the progress of its tasks,
 * and how well and how fast it works against the expectation of like work. The code performs no
 * I/O, reads no clock and starts no threads; all times are passed in.
 */
@NullMarked
package org.hickoryspar.kernel.minion;

import org.jspecify.annotations.NullMarked;
