/** The entry daemon: callers, minions and the link to control. */
@NullMarked
package org.hickoryspar.node.entry;

import org.jspecify.annotations.NullMarked;
