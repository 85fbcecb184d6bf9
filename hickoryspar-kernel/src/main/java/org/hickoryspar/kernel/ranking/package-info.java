/**
 * The order of waiting work: by urgency while the backlog of a service fits, and by the shares of
 * the teams while it does not. Pure functions and small states over values; the dispatcher measures
 * and applies the result.
 */
@NullMarked
package org.hickoryspar.kernel.ranking;

import org.jspecify.annotations.NullMarked;
