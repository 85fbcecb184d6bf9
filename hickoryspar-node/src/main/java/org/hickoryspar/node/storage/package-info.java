/** Durable storage of a control replica: log, snapshots, term, vote and identity. */
@NullMarked
package org.hickoryspar.node.storage;

import org.jspecify.annotations.NullMarked;
