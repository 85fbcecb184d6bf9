/**
 * Membership of clusters whose instances find each other from a few seeds: who runs a control
 * replica, who leads, and which replicas vote.
 */
@NullMarked
package org.hickoryspar.node.cluster;

import org.jspecify.annotations.NullMarked;
