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
 * The catalog in force and the data centres that are taken out of service. Changes come from one
 * thread; reads may come from any.
 */
public final class CatalogState {

  private volatile CatalogChange lastChange = CatalogChange.getDefaultInstance();
  private volatile CatalogView view = CatalogView.empty();
  private volatile Set<String> dataCentresOut = Set.of();

  /** Creates a state without catalog. */
  public CatalogState() {}

  /**
   * Puts a catalog in force if it is newer and valid.
   *
   * @param newer the change
   * @return why it was refused, or empty when the version in force is now at least that of the
   *     change
   */
  public Optional<Problem> apply(CatalogChange newer) {
    requireNonNull(newer, "newer is null");
    Optional<Problem> problem = CatalogValidator.validate(newer.getCatalog());
    if (problem.isEmpty() && newer.getCatalog().getVersion() > view.version()) {
      restore(newer);
    }
    return problem;
  }

  /**
   * Takes a data centre out of service, or back into it.
   *
   * @param change the data centre and whether it is out
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
   * Returns the change that put the current catalog in force.
   *
   * @return the change; its catalog has version 0 before the first one
   */
  public CatalogChange lastChange() {
    return lastChange;
  }

  /**
   * Returns the catalog in force.
   *
   * @return its view
   */
  public CatalogView view() {
    return view;
  }

  /**
   * Returns the data centres that are out of service.
   *
   * @return their names
   */
  public Set<String> dataCentresOut() {
    return dataCentresOut;
  }

  /**
   * Replaces everything by what a snapshot holds.
   *
   * @param restored change that put the catalog in force
   * @param out names of the data centres that are out
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
