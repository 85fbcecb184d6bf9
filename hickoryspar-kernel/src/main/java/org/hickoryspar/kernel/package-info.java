/** State and rules of the scheduler without I/O, clocks and threads; root of the module. */
@NullMarked
package org.hickoryspar.kernel;

import org.jspecify.annotations.NullMarked;
