/** TCP proxy that injects faults into the links between processes. */
@NullMarked
package org.hickoryspar.standins.net;

import org.jspecify.annotations.NullMarked;
