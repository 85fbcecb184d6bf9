/** Links between processes that can be delayed, reset and silenced. */
@NullMarked
package org.hickoryspar.standins.net;

import org.jspecify.annotations.NullMarked;
