/** The replicated log as a state machine without I/O. */
@NullMarked
package org.hickoryspar.kernel.replication;

import org.jspecify.annotations.NullMarked;
