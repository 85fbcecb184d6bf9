/** Numbered log events, metrics and traces. */
@NullMarked
package org.hickoryspar.node.observability;

import org.jspecify.annotations.NullMarked;
