/** Settings of an instance, read from a JSON file and checked. */
@NullMarked
package org.hickoryspar.node.settings;

import org.jspecify.annotations.NullMarked;
