/** Selection of the voters as instances join, leave or lose their disks. */
@NullMarked
package org.hickoryspar.kernel.membership;

import org.jspecify.annotations.NullMarked;
