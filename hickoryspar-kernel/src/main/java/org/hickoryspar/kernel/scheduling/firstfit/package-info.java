/** A baseline scheduler: first fit in queue order, without reservations or guarantees. */
@NullMarked
package org.hickoryspar.kernel.scheduling.firstfit;

import org.jspecify.annotations.NullMarked;
