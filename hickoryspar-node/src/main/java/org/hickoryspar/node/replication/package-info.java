/** Runs a replica of the replicated log: connects its core to threads, storage and transport. */
@NullMarked
package org.hickoryspar.node.replication;

import org.jspecify.annotations.NullMarked;
