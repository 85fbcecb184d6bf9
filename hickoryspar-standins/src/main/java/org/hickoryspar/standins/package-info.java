/** Root package of the module. */
@NullMarked
package org.hickoryspar.standins;

import org.jspecify.annotations.NullMarked;
