/** Scheduling decisions: pure, deterministic, with the clock passed in. */
@NullMarked
package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.NullMarked;
