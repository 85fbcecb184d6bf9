/** The state machine to which committed commands are applied. */
@NullMarked
package org.hickoryspar.kernel.control;

import org.jspecify.annotations.NullMarked;
