/** Reads and validates the settings of an instance and fleet documents from JSON files. */
@NullMarked
package org.hickoryspar.node.settings;

import org.jspecify.annotations.NullMarked;
