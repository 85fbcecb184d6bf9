package org.hickoryspar.kernel.catalog;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.DataCentreSwitch;

/**
 * Replicated state of the catalog and of the data centres that are out of service. Changed by one
 * thread; may be read by any thread.
 */
public final class CatalogState {

  private volatile CatalogChange lastChange = CatalogChange.getDefaultInstance();
  private volatile CatalogView view = CatalogView.empty();
  private volatile Set<String> dataCentresOut = Set.of();

  /** Creates a state with the empty catalog of version 0 and all data centres in service. */
  public CatalogState() {}

  /**
   * Replaces the current catalog if the new one is valid and has a higher version.
   *
   * @param change the new catalog with the document that the operator sent
   * @return the reason of the rejection, or empty if the current version is now at least that of
   *     the change
   */
  public Optional<Problem> apply(CatalogChange change) {
    requireNonNull(change, "change is null");
    Optional<Problem> problem = CatalogValidator.validate(change.getCatalog());
    if (problem.isEmpty() && change.getCatalog().getVersion() > view.version()) {
      restore(change);
    }
    return problem;
  }

  /**
   * Takes a data centre out of service or returns it to service.
   *
   * @param change the data centre and whether it is out of service
   */
  public void apply(DataCentreSwitch change) {
    requireNonNull(change, "change is null");
    Set<String> out = new TreeSet<>(dataCentresOut);
    if (change.getOut()) {
      out.add(change.getDataCentre());
    } else {
      out.remove(change.getDataCentre());
    }
    dataCentresOut = Set.copyOf(out);
  }

  /**
   * Returns the change that introduced the current catalog.
   *
   * @return the change; its catalog has version 0 before the first change
   */
  public CatalogChange lastChange() {
    return lastChange;
  }

  /**
   * Returns the current catalog.
   *
   * @return an immutable view of it
   */
  public CatalogView view() {
    return view;
  }

  /**
   * Returns the data centres that are out of service.
   *
   * @return an immutable set of their names
   */
  public Set<String> dataCentresOut() {
    return dataCentresOut;
  }

  /**
   * Replaces the whole state with that of a snapshot.
   *
   * @param restored change that introduced the catalog
   * @param out names of the data centres that are out of service
   */
  public void restore(CatalogChange restored, Collection<String> out) {
    restore(requireNonNull(restored, "restored is null"));
    dataCentresOut = Set.copyOf(out);
  }

  private void restore(CatalogChange restored) {
    lastChange = restored;
    view = CatalogView.of(restored.getCatalog());
  }
}
