/** The control daemon: replication, operators, entries and the platform. */
@NullMarked
package org.hickoryspar.node.control;

import org.jspecify.annotations.NullMarked;
