/** What all HTTP servers of the project have in common. */
@NullMarked
package org.hickoryspar.node.http;

import org.jspecify.annotations.NullMarked;
