/** Connections between the processes of a cluster. */
@NullMarked
package org.hickoryspar.node.transport;

import org.jspecify.annotations.NullMarked;
