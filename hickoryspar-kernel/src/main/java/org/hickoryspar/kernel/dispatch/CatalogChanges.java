package org.hickoryspar.kernel.dispatch;

import java.util.Set;
import org.hickoryspar.kernel.catalog.CatalogState;

/** Detects changes of the catalog, which the replicated log applies without an event. */
final class CatalogChanges {

  private final CatalogState catalog;
  private final WaitingSteps waitingSteps;
  private Set<String> dataCentresOut;

  CatalogChanges(CatalogState catalog, WaitingSteps waitingSteps) {
    this.catalog = catalog;
    this.waitingSteps = waitingSteps;
    this.dataCentresOut = catalog.dataCentresOut();
  }

  /** Updates the waiting steps; returns whether anything has changed since the last call. */
  boolean apply() {
    Set<String> previouslyOut = dataCentresOut;
    dataCentresOut = catalog.dataCentresOut();
    boolean queuesChanged = waitingSteps.updateCatalog();
    return queuesChanged || !dataCentresOut.equals(previouslyOut);
  }
}
