/** The declared fleet configuration: documents, validation, patches and differences. */
@NullMarked
package org.hickoryspar.kernel.fleet;

import org.jspecify.annotations.NullMarked;
