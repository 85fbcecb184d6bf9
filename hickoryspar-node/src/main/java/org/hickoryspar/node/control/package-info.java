/**
 * The control daemon: the interfaces of the replicated log, the services for entries and operators,
 * and the scheduling loop, which runs gangs on the platform while this replica is the leader.
 */
@NullMarked
package org.hickoryspar.node.control;

import org.jspecify.annotations.NullMarked;
