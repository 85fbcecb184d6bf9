/**
 * Workflows: the calls of callers and operators to the leader, the registry of minions, and the
 * loop that runs the dispatcher and sends its orders to minions.
 */
@NullMarked
package org.hickoryspar.node.dispatch;

import org.jspecify.annotations.NullMarked;
