package org.hickoryspar.kernel.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Decides by complete search whether shapes can be formed at once; for small fleets only. */
final class ExactGuaranteeCheck {

  private final Map<String, ResourceVector> left;
  private final Map<String, String> rackOf;
  private final List<String> names;
  private final List<GangShape> shapes;

  ExactGuaranteeCheck(
      Map<String, ResourceVector> left, Map<String, String> rackOf, List<GangShape> shapes) {
    this.left = new HashMap<>(left);
    this.rackOf = rackOf;
    this.names = left.keySet().stream().sorted().toList();
    this.shapes = shapes;
  }

  boolean isFormable() {
    return place(0, 0, 0, null);
  }

  /** Places the next task of a shape on a worker that is not before the last task's worker. */
  private boolean place(int shape, int task, int first, String last) {
    if (shape == shapes.size()) {
      return true;
    }
    GangShape wanted = shapes.get(shape);
    if (task == wanted.tasks()) {
      return place(shape + 1, 0, 0, null);
    }
    for (int i = first; i < names.size(); i++) {
      String name = names.get(i);
      boolean near =
          last == null
              || wanted.adjacency() == Adjacency.NONE
              || (wanted.adjacency() == Adjacency.WORKER && last.equals(name))
              || (wanted.adjacency() == Adjacency.RACK
                  && Objects.equals(rackOf.get(last), rackOf.get(name)));
      ResourceVector room = left.get(name);
      if (near && wanted.perTask().fitsIn(room)) {
        left.put(name, room.minus(wanted.perTask()));
        boolean found = place(shape, task + 1, i, name);
        left.put(name, room);
        if (found) {
          return true;
        }
      }
    }
    return false;
  }
}
