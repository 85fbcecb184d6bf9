/** Root package of the module. */
@NullMarked
package org.hickoryspar.kernel;

import org.jspecify.annotations.NullMarked;
