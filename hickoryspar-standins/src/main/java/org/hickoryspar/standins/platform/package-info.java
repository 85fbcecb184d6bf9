/** Simulated platform, whose workers run simulated tasks under leases. */
@NullMarked
package org.hickoryspar.standins.platform;

import org.jspecify.annotations.NullMarked;
