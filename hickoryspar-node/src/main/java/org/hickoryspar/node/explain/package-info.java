/** Reads the logs of several processes and tells the story of one request or workflow. */
@NullMarked
package org.hickoryspar.node.explain;

import org.jspecify.annotations.NullMarked;
