/** Deterministic state machines and decisions without I/O, clocks and threads; root package. */
@NullMarked
package org.hickoryspar.kernel;

import org.jspecify.annotations.NullMarked;
