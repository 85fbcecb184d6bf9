/** Threads that the daemons share. */
@NullMarked
package org.hickoryspar.node.concurrent;

import org.jspecify.annotations.NullMarked;
