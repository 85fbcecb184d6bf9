/** Replicated state of workflows: occurrences, task groups, runs and their ends. */
@NullMarked
package org.hickoryspar.kernel.workflow;

import org.jspecify.annotations.NullMarked;
