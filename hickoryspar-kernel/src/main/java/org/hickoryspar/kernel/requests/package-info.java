/** Request routing of an entry: endpoints, slots, retries, queues and idempotency keys. */
@NullMarked
package org.hickoryspar.kernel.requests;

import org.jspecify.annotations.NullMarked;
