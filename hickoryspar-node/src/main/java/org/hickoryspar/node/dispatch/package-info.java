/** Runs workflows: calls of callers and operators, reports of minions, and orders to them. */
@NullMarked
package org.hickoryspar.node.dispatch;

import org.jspecify.annotations.NullMarked;
