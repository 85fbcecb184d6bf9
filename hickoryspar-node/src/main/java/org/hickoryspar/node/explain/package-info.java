/** Merges the logs of several processes into a timeline of one workflow, task, run or minion. */
@NullMarked
package org.hickoryspar.node.explain;

import org.jspecify.annotations.NullMarked;
