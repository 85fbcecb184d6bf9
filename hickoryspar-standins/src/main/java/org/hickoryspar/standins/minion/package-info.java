/** A stand-in minion with faults that can be switched on. */
@NullMarked
package org.hickoryspar.standins.minion;

import org.jspecify.annotations.NullMarked;
