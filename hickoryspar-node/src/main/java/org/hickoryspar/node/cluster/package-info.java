/**
 * Discovery and membership in clusters whose instances find each other from a few seeds: control
 * daemons, leader and voters.
 */
@NullMarked
package org.hickoryspar.node.cluster;

import org.jspecify.annotations.NullMarked;
