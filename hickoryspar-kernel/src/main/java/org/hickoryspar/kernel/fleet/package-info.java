/** The declared fleet configuration, its validation and its history. */
@NullMarked
package org.hickoryspar.kernel.fleet;

import org.jspecify.annotations.NullMarked;
