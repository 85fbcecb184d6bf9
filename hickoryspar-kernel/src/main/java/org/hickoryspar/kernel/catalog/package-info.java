/** The catalog of queues, services and teams, which configures the scheduling of workflows. */
@NullMarked
package org.hickoryspar.kernel.catalog;

import org.jspecify.annotations.NullMarked;
