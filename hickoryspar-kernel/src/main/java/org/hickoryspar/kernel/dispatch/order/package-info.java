/**
 * What a dispatcher and minions tell each other: orders, their outcomes and responses to renewals.
 * Immutable values; who sends them is up to the owner of the dispatcher.
 */
@NullMarked
package org.hickoryspar.kernel.dispatch.order;

import org.jspecify.annotations.NullMarked;
