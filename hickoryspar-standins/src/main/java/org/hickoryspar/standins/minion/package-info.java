/** Stub minion that echoes requests, counts its runs and injects faults. */
@NullMarked
package org.hickoryspar.standins.minion;

import org.jspecify.annotations.NullMarked;
