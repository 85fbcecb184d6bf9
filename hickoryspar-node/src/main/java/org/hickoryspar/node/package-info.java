/** Daemons, command line and I/O of hickoryspar, around the decisions of the kernel. */
@NullMarked
package org.hickoryspar.node;

import org.jspecify.annotations.NullMarked;
