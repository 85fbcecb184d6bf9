package org.hickoryspar.kernel.scheduling;

/** Wording shared by reports and explanations. */
final class Descriptions {

  private Descriptions() {}

  static String amount(ResourceVector amount) {
    return amount.accelerators()
        + " accelerators, "
        + amount.cores()
        + " cores and "
        + amount.memoryMegabytes()
        + " MB";
  }

  static String shape(GangShape shape) {
    return shape.tasks()
        + " tasks of "
        + amount(shape.perTask())
        + " each"
        + where(shape.adjacency());
  }

  static String where(Adjacency adjacency) {
    return switch (adjacency) {
      case WORKER -> " on one worker";
      case RACK -> " on one rack";
      case NONE -> "";
    };
  }
}
