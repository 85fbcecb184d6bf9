/** Files of a control replica: log, snapshots and identity. */
@NullMarked
package org.hickoryspar.node.storage;

import org.jspecify.annotations.NullMarked;
