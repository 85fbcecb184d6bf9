/** Root package of the module. */
@NullMarked
package org.hickoryspar.bench;

import org.jspecify.annotations.NullMarked;
