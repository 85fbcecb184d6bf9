/** Helpers that the HTTP servers of the project share. */
@NullMarked
package org.hickoryspar.node.http;

import org.jspecify.annotations.NullMarked;
