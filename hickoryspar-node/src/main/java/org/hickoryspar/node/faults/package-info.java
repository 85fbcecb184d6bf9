/** Injects faults for tests: clock offsets, slow or full disks, and redirected connections. */
@NullMarked
package org.hickoryspar.node.faults;

import org.jspecify.annotations.NullMarked;
