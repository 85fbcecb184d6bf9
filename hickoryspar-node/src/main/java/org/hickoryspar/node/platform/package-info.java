/** The platform that runs tasks on workers. */
@NullMarked
package org.hickoryspar.node.platform;

import org.jspecify.annotations.NullMarked;
