/** The command line. */
@NullMarked
package org.hickoryspar.node.cli;

import org.jspecify.annotations.NullMarked;
