/** Which replicas vote, as instances come, go and lose their disks. */
@NullMarked
package org.hickoryspar.kernel.membership;

import org.jspecify.annotations.NullMarked;
