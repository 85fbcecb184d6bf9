/** Interface to the platform that runs tasks on workers, and its client over HTTP. */
@NullMarked
package org.hickoryspar.node.platform;

import org.jspecify.annotations.NullMarked;
