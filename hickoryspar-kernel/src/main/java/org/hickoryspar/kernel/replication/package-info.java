/** The replicated log: Raft as a deterministic state machine without I/O. */
@NullMarked
package org.hickoryspar.kernel.replication;

import org.jspecify.annotations.NullMarked;
