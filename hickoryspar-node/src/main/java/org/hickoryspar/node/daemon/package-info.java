/** Assembles the daemons from their parts. */
@NullMarked
package org.hickoryspar.node.daemon;

import org.jspecify.annotations.NullMarked;
