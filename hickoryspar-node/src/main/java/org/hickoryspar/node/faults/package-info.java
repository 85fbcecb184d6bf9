/** Faults that a test asks a process to have: clocks, storage and links that misbehave. */
@NullMarked
package org.hickoryspar.node.faults;

import org.jspecify.annotations.NullMarked;
