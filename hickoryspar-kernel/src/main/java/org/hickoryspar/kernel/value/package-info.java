/**
 * Immutable values shared by the kernel packages, among them the result type for expected failures.
 */
@NullMarked
package org.hickoryspar.kernel.value;

import org.jspecify.annotations.NullMarked;
