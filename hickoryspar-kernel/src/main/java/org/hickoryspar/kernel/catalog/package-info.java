/** The declared queues, services and teams that workflows are scheduled under. */
@NullMarked
package org.hickoryspar.kernel.catalog;

import org.jspecify.annotations.NullMarked;
