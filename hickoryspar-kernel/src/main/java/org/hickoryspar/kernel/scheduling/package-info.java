/**
 * Decides which gangs run on which workers.
 *
 * <p>The decisions are deterministic: no I/O, no threads, and the time is a parameter.
 */
@NullMarked
package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.NullMarked;
