/** Replicated state of workflows: steps, tasks, runs and their ends. */
@NullMarked
package org.hickoryspar.kernel.workflow;

import org.jspecify.annotations.NullMarked;
