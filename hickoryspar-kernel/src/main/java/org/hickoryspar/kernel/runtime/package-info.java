/**
 * Predictions of run times: what finished runs tell of those to come, and what is left of a run
 * that goes on. {@code docs/design/learned-run-times.md} explains the choices.
 */
@NullMarked
package org.hickoryspar.kernel.runtime;

import org.jspecify.annotations.NullMarked;
