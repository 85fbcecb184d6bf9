/**
 * Test doubles, or stand-ins, of the systems around the daemons: the platform, minions and network
 * links. Tests and the quickstart use them.
 */
@NullMarked
package org.hickoryspar.standins;

import org.jspecify.annotations.NullMarked;
