/** A stand-in for the platform: workers that run simulated tasks under leases. */
@NullMarked
package org.hickoryspar.standins.platform;

import org.jspecify.annotations.NullMarked;
