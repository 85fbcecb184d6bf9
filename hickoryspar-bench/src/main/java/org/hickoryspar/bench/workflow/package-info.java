/**
 * Experiments with decisions about workflows: simulated minions under a virtual clock are driven by
 * the dispatcher of the product, under load and faults, and every start is checked.
 */
@NullMarked
package org.hickoryspar.bench.workflow;

import org.jspecify.annotations.NullMarked;
