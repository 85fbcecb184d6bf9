/** Runs one replica of the replicated log: threads, files and messages around the pure core. */
@NullMarked
package org.hickoryspar.node.replication;

import org.jspecify.annotations.NullMarked;
