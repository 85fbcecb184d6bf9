/**
 * The entry daemon, which forwards requests of callers to minions, registers minions and forwards
 * job and operator calls to control.
 */
@NullMarked
package org.hickoryspar.node.entry;

import org.jspecify.annotations.NullMarked;
