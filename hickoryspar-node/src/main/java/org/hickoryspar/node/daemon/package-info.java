/** Assembles the entry and control daemons from their components. */
@NullMarked
package org.hickoryspar.node.daemon;

import org.jspecify.annotations.NullMarked;
