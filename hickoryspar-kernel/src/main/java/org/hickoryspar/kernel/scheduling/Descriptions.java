package org.hickoryspar.kernel.scheduling;

/** Describes resources and shapes in reports and explanations. */
final class Descriptions {

  private Descriptions() {}

  static String resources(ResourceVector resources) {
    return resources.accelerators()
        + " accelerators, "
        + resources.cores()
        + " cores and "
        + resources.memoryMegabytes()
        + " MB";
  }

  static String shape(GangShape shape) {
    return shape.tasks()
        + " tasks of "
        + resources(shape.perTask())
        + " each"
        + location(shape.adjacency());
  }

  static String location(Adjacency adjacency) {
    return switch (adjacency) {
      case WORKER -> " on one worker";
      case RACK -> " on one rack";
      case NONE -> "";
    };
  }
}
