/** Connections between our own processes. */
@NullMarked
package org.hickoryspar.node.transport;

import org.jspecify.annotations.NullMarked;
