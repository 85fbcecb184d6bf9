package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.workflow.TaskGroup;

/**
 * A group and the minion that each of its tasks shall run on.
 *
 * @param waiting the step that the group is part of
 * @param group the group
 * @param minions the minion of each task
 */
record Placement(WaitingStep waiting, TaskGroup group, List<Minion> minions) {}
