/** The replicated state machine of the control daemons. */
@NullMarked
package org.hickoryspar.kernel.control;

import org.jspecify.annotations.NullMarked;
