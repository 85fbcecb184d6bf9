/** Root package of the module. */
@NullMarked
package org.hickoryspar.node;

import org.jspecify.annotations.NullMarked;
